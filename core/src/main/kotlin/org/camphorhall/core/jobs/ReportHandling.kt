package org.camphorhall.core.jobs

/** Processes the reports of agents: ended attempts, rejected starts and running attempts. */
internal class ReportHandling(private val state: ShardState, private val settings: JobShardSettings) {
    /**
     * Processes a report received on connection [session], whose id is unique to the connection. Returns whether the
     * worker's lease may be extended from the time of the report.
     */
    fun handle(session: Long, report: WorkerReport, now: Long): Boolean {
        val key = report.profile.key
        val current = state.workers[key]
        if (current?.session != session && isOutdated(report)) {
            state.logEvent("outdated report ignored", worker = key.toString())
            return false
        }
        val w = current ?: TrackedWorker(report.profile).also { state.workers[key] = it }
        if (w.session != session) attach(w, session)
        updateWorker(w, report, now)
        if (report.reachable && report.isComplete && !report.terminated) replaceEarlier(w, report)
        // Acknowledging a later end would acknowledge one that waits.
        report.ended.takeWhile { !isOnOtherIncarnation(w, it.task, it.attempt) }.forEach { handleEnd(w, it, now) }
        report.rejected.forEach { handleRejection(w, it, now) }
        if (report.terminated) {
            state.releaseAll(w, "worker process is gone")
        } else if (report.isComplete) {
            reconcileRunning(w, report, now)
            learnInterference(w, report, now)
        }
        if (report.reachable && report.isComplete) w.hasReported = true
        w.recordChange()
        logHealthState(w, now)
        state.acknowledge(w)
        return report.reachable
    }

    /** Updates the state of [w] itself, and how long its attempts may run without further reports. */
    private fun updateWorker(w: TrackedWorker, report: WorkerReport, now: Long) {
        w.connection = report.connection
        val wasDraining = w.profile.draining
        w.profile = report.profile
        if (report.profile.draining && !wasDraining) state.logEvent("worker drains", worker = w.key.toString())
        w.lastReportAt = now
        val wasReachable = w.reachable
        w.reachable = report.reachable
        w.health.recordSelfReport(report.healthy, now)
        w.leaseEndsAt = if (report.reachable) {
            // A worker may hold a longer lease than any that was granted for this incarnation.
            now + maxOf(settings.grantedLeaseMillis, report.remainingLeaseMillis)
        } else {
            minOf(w.leaseEndsAt, now + report.remainingLeaseMillis)
        }
        // An agent that reports an unreachable worker sends no start until it reports a reachable one.
        w.unconfirmedStarts = if (report.reachable) null else report.unconfirmedStarts?.toSet()
        if (w.reachable != wasReachable) logReachability(w, report, now)
    }

    /**
     * Whether the report was made for an earlier connection or incarnation than one that has reported since. It may
     * have been held up on the way, and what it does not list may be running by now.
     */
    private fun isOutdated(report: WorkerReport): Boolean {
        val key = report.profile.key
        val isReconnected = state.workers[key].let { it != null && report.connection < it.connection }
        return isReconnected ||
            state.workers.keys.any { it.instance == key.instance && it.startedAtMillis > key.startedAtMillis }
    }

    /** Logs a change of the worker's reachability with the lease that the agent reports and the one assumed here. */
    private fun logReachability(w: TrackedWorker, report: WorkerReport, now: Long) {
        val event = if (w.reachable) "worker reachable" else "worker unreachable"
        val detail = "lease ${report.remainingLeaseMillis} ms, assumed ${w.leaseEndsAt - now} ms"
        state.logEvent(event, worker = w.key.id, detail = detail)
    }

    /** Logs the health state of the worker if it has changed since the last report. */
    private fun logHealthState(w: TrackedWorker, now: Long) {
        val healthState = w.health.state(now)
        if (healthState == w.loggedHealthState) return
        w.loggedHealthState = healthState
        state.logEvent("worker health state changes", worker = w.key.id, detail = healthState.logName)
    }

    /** Associates [w] with a new connection. */
    private fun attach(w: TrackedWorker, session: Long) {
        w.session?.let(state.sessions::remove)
        w.session = session
        w.hasReported = false
        w.lastCommand = 0
        w.acknowledgedEnds = null
        state.sessions[session] = w
        state.logEvent("agent attached", worker = w.key.toString())
    }

    /**
     * Releases the attempts of earlier incarnations of the reachable worker [w], which have ended. An attempt that [w]
     * lists, as running or ended, was started by a call meant for an earlier incarnation with the same id, and belongs
     * to [w].
     */
    private fun replaceEarlier(w: TrackedWorker, report: WorkerReport) {
        val earlier = state.workers.values.filter { it.key.instance == w.key.instance && it.key != w.key }
        for (e in earlier) {
            e.session?.let { if (state.sessions[it] === e) state.sessions.remove(it) }
            val listed = report.running.map { it.task to it.attempt } + report.ended.map { it.task to it.attempt }
            val moved = listed.mapNotNull { (task, attempt) -> e.assigned[task]?.takeIf { it.attempt == attempt } }
            moved.forEach { state.reassign(it, e, w) }
            if (report.hasMoreEnds) {
                // An attempt that is not listed yet may have ended here too.
                e.leaseEndsAt = maxOf(e.leaseEndsAt, w.leaseEndsAt)
            } else {
                state.releaseAll(e, "worker restarted")
                state.workers.remove(e.key)
            }
        }
    }

    /**
     * Whether an attempt is assigned to another incarnation on the instance of [w]. A complete report of the reachable
     * worker shows which of them belong to [w].
     */
    private fun isOnOtherIncarnation(w: TrackedWorker, task: TaskRef, attempt: Int): Boolean {
        val worker = state.jobs[task.job]?.task(task)?.takeIf { it.attempt == attempt }?.worker
        return worker != null && worker != w.key && worker.instance == w.key.instance
    }

    private fun handleEnd(w: TrackedWorker, end: AttemptEnd, now: Long) {
        val job = state.jobs[end.task.job]
        val t = job?.task(end.task)?.takeIf { it.attempt == end.attempt && it.worker == w.key }
        // The end of an assigned attempt counts even if an odd entry of another writer has its number.
        if (t == null && end.number <= w.lastEnd) return
        w.recordEnd(end.number)
        if (job == null || t == null) {
            // An earlier owner has processed the end, or the attempt was already released.
            acknowledgeUnassigned(w, job, end)
            return
        }
        job.recordBegun()
        val ranMillis = now - t.assignedAt
        state.logEvent(
            "attempt ended",
            task = t.ref,
            attempt = end.attempt,
            worker = w.key.id,
            detail = end.cause.name,
            ranMillis = ranMillis,
        )
        state.unassign(w, t)
        if (end.checkpoint.isNotEmpty()) t.checkpoint = end.checkpoint
        when (end.cause) {
            EndCause.Done -> handleDone(w, job, t, now)
            EndCause.Failed -> handleFailure(w, job, t, now)
            else -> Unit
        }
        job.outbox += Outgoing.Acknowledge(w.key, end.number)
        state.unsaved += job.record.id
    }

    /** The worker forgets an acknowledged end, so a release of the attempt has to be stored before. */
    private fun acknowledgeUnassigned(w: TrackedWorker, job: TrackedJob?, end: AttemptEnd) {
        if (job == null) {
            w.recordStored(end.number)
        } else {
            job.outbox += Outgoing.Acknowledge(w.key, end.number)
            state.unsaved += job.record.id
        }
    }

    private fun handleDone(w: TrackedWorker, job: TrackedJob, t: TrackedTask, now: Long) {
        if (t.spec.longRunning) return
        w.health.recordSuccess(now)
        t.completedRunMillis = now - t.assignedAt
        val step = job.step(t.ref) ?: return
        if (t.spec.gang) step.tasks.forEach(step::markDone) else step.markDone(t)
        if (job.isDone && !job.phase.isFinal) state.finish(job, JobPhase.Completed, now)
    }

    private fun handleFailure(w: TrackedWorker, job: TrackedJob, t: TrackedTask, now: Long) {
        w.health.recordFailure(job.record.id, job.failedOn.any { it != w.key.instance }, now)
        job.failedOn += w.key.instance
        val step = job.step(t.ref) ?: return
        step.avoid(t, w.key.instance)
        if (t.spec.longRunning) return
        step.recordFailure(t)
        val limit = state.currentClass(job.record.jobClass).maxAttempts
        if (step.failuresOf(t) >= limit && !job.phase.isFinal) state.finish(job, JobPhase.Failed, now)
    }

    private fun handleRejection(w: TrackedWorker, rejection: RejectedStart, now: Long) {
        val job = state.jobs[rejection.task.job] ?: return
        val t = job.task(rejection.task) ?: return
        if (t.worker != w.key || t.attempt != rejection.attempt) return
        state.logEvent("start refused", task = t.ref, attempt = t.attempt, worker = w.key.id, detail = rejection.reason)
        state.unassign(w, t)
        if (rejection.unhealthy) w.health.recordRejection(now) else job.step(t.ref)?.avoid(t, w.key.instance)
        state.unsaved += job.record.id
    }

    /** Reconciles the reported running attempts with the assigned tasks. */
    private fun reconcileRunning(w: TrackedWorker, report: WorkerReport, now: Long) {
        // An odd entry of another writer may name the same task.
        val running = report.running.filter { w.assigned[it.task]?.attempt == it.attempt }.associateBy { it.task }
        for (t in w.assigned.values.toList()) {
            val row = running[t.ref]
            if (row != null) {
                state.jobs[t.ref.job]?.recordBegun()
                update(t, row, now)
            } else if (isStartCompleted(t, w, report) && report.reachable && !report.hasMoreEnds) {
                state.release(w, t, "not listed")
            }
        }
        for (row in report.running) {
            val isAssigned = w.assigned[row.task]?.attempt == row.attempt
            if (isAssigned || isOnOtherIncarnation(w, row.task, row.attempt)) continue
            state.sendStop(w, row.task, row.attempt, "not assigned")
        }
    }

    /** Adds the reported loads to the interference model unless their interval overlaps that of the last sample. */
    private fun learnInterference(w: TrackedWorker, report: WorkerReport, now: Long) {
        if (report.listedAtMillis - w.lastSampleAtMillis < SAMPLE_MILLIS) return
        w.lastSampleAtMillis = report.listedAtMillis
        val rows = report.running.mapNotNull { row -> w.assigned[row.task]?.let { it to row } }
        val serving = rows.filter { (t, row) -> t.spec.isServing && row.percent == FULL_PERCENT && row.load > 0 }
        if (serving.isEmpty()) return
        val cpu = w.profile.capacity.cpuMillis.coerceAtLeast(1).toDouble()
        val utilization = rows.filter { (t, row) -> t.spec.backfill && row.load > 0 }
            .groupBy({ it.first.image }, { it.second.load })
            .mapValues { (_, loads) -> loads.sum() / cpu }
        for ((t, row) in serving) {
            state.interference.observe(t, (t.spec.latencyTargetMillis ?: 0).toDouble() / row.load, utilization, now)
        }
    }

    private fun isStartCompleted(t: TrackedTask, w: TrackedWorker, report: WorkerReport): Boolean {
        // Without a start command, the record of the attempt is not stored yet.
        val command = t.startCommand ?: return false
        return command.session != w.session || command.number <= report.lastCompletedCommand
    }

    private fun update(t: TrackedTask, row: RunningAttempt, now: Long) {
        if (row.checkpoint.isNotEmpty()) t.checkpoint = row.checkpoint
        t.recordProgress(row.percent, now)
        recordListed(t)
        t.recordShare(row.knownShare)
        if (now - t.assignedAt >= settings.minMeasuredAgeMillis) t.load = row.load
    }

    /**
     * Records that the worker lists the attempt. Stored with the next change of the job, and at once for a long-running
     * task, since its job rarely changes.
     */
    private fun recordListed(t: TrackedTask) {
        if (t.isListed) return
        t.isListed = true
        if (t.spec.longRunning) state.unsaved += t.ref.job
    }

    private companion object {
        /** Minimum time between two samples, in milliseconds; a measurement of a worker covers 500 ms. */
        const val SAMPLE_MILLIS = 450L

        /** Progress of a long-running task that is up. */
        const val FULL_PERCENT = 100
    }
}
