package org.camphorhall.core.jobs

/** Repeats stops and moves tasks away from workers where they do badly. */
internal class TaskMoves(
    private val state: ShardState,
    private val settings: JobShardSettings,
    private val scheduling: TaskScheduling,
) {
    /** Looks at all workers. */
    fun check(now: Long) {
        for (w in state.workers.values) {
            repeatStops(w, now)
            moveStragglers(w, now)
            moveOffDraining(w, now)
        }
        for (t in scheduling.throttledBackfill(state.workers.values, now)) {
            val w = t.worker?.let(state.workers::get) ?: continue
            t.moves++
            move(w, t, "throttled", now)
        }
    }

    private fun move(w: TrackedWorker, t: TrackedTask, cause: String, now: Long) {
        state.logEvent("attempt moved", task = t.ref, attempt = t.attempt, worker = w.key.id, detail = cause)
        state.stop(w, t, now)
    }

    private fun repeatStops(w: TrackedWorker, now: Long) {
        for (t in w.assigned.values) {
            val sentAt = t.stopSentAt ?: continue
            if (now - sentAt >= settings.stopRetryMillis) state.stop(w, t, now)
        }
    }

    /** Stops what a draining worker will not finish and what can go on elsewhere. The rest may end there. */
    private fun moveOffDraining(w: TrackedWorker, now: Long) {
        if (!w.profile.draining || !w.hasReported) return
        val availableMillis = (w.profile.remainingMillis ?: 0) - (now - w.lastReportAt) - settings.maxStopMillis
        for (t in w.assigned.values) {
            if (t.startCommand == null || t.stopSentAt != null) continue
            val age = now - t.assignedAt
            val neededMillis = if (t.percent == 0) Long.MAX_VALUE else age * (FULL_PERCENT - t.percent) / t.percent
            if (t.spec.longRunning || t.spec.checkpoints && neededMillis > availableMillis) {
                move(w, t, "worker drains", now)
            }
        }
    }

    private fun moveStragglers(w: TrackedWorker, now: Long) {
        if (!w.canTakeWork(now, settings.reportTimeoutMillis)) return
        val slow = Stragglers.find(w, { state.jobs[it.ref.job]?.step(it.ref) }, now)
        if (slow.isEmpty()) return
        w.health.recordSlow(now)
        for (t in slow) {
            t.avoidedInstances += w.key.instance
            move(w, t, "worker is slow", now)
        }
    }

    private companion object {
        /** Percent of a task that is done. */
        const val FULL_PERCENT = 100L
    }
}
