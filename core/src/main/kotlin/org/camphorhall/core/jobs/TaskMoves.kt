package org.camphorhall.core.jobs

/** Stops the attempts that are to end, and moves throttled tasks and those on slow or draining workers. */
internal class TaskMoves(
    private val state: ShardState,
    private val settings: JobShardSettings,
    private val scheduling: TaskScheduling,
) {
    /** Checks the tasks of all workers. */
    fun check(now: Long) {
        val incompleteGangs = incompleteGangs()
        for (w in state.workers.values) {
            stopUnwanted(w, incompleteGangs, now)
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
        state.stop(w, t, cause, now)
    }

    /** Gangs of which some members are assigned and others are not: a start was rejected or lost, or a member ended. */
    private fun incompleteGangs(): Set<StepRef> = state.workers.values.asSequence().flatMap { it.assigned.values }
        .filter { it.spec.gang }.map { it.ref.stepRef }.distinct()
        .filter { ref -> state.jobs[ref.job]?.step(ref)?.hasWaiting ?: false }
        .toSet()

    /**
     * Stops the attempts of ended jobs, those that are being moved, and the members of incomplete gangs, until their
     * ends are reported. The phase of a job is in its record, so that each owner stops what an earlier one has not.
     */
    private fun stopUnwanted(w: TrackedWorker, incompleteGangs: Set<StepRef>, now: Long) {
        for (t in w.assigned.values) {
            val phase = state.jobs[t.ref.job]?.phase
            val cause = when {
                phase?.isFinal == true -> "job ended: $phase"
                // Another member of the gang has ended as done.
                t.done -> null
                // The member would only wait for the others, which start again with it.
                t.startCommand != null && t.ref.stepRef in incompleteGangs -> "gang is incomplete"
                else -> t.stopCause
            }
            if (cause != null) state.stop(w, t, cause, now)
        }
    }

    /**
     * Moves long-running tasks, and tasks with checkpoints that cannot finish in time, off a draining worker. Other
     * tasks stay, since a move would restart them from the beginning.
     */
    private fun moveOffDraining(w: TrackedWorker, now: Long) {
        if (!w.profile.draining || !w.hasReported) return
        val availableMillis = (w.profile.remainingMillis ?: 0) - (now - w.lastReportAt) - settings.maxStopMillis
        for (t in w.assigned.values) {
            if (t.startCommand == null || t.stopCause != null) continue
            val age = now - t.assignedAt
            val neededMillis = if (t.percent == 0) Long.MAX_VALUE else age * (FULL_PERCENT - t.percent) / t.percent
            if (t.spec.longRunning || t.spec.checkpoints && neededMillis > availableMillis) {
                move(w, t, "worker drains", now)
            }
        }
    }

    private fun moveStragglers(w: TrackedWorker, now: Long) {
        if (!w.canTakeWork(now, settings.reportTimeoutMillis)) return
        val slow = Stragglers.find(w, { state.jobs[it.ref.job]?.step(it.ref) }, now, settings.restoreMillis)
        if (slow.isEmpty()) return
        w.health.recordSlow(now)
        for (t in slow) {
            t.avoidedInstances += w.key.instance
            move(w, t, "worker is slow", now)
        }
    }

    private companion object {
        /** Progress of a finished task. */
        const val FULL_PERCENT = 100L
    }
}
