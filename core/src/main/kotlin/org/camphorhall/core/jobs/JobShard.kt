package org.camphorhall.core.jobs

import org.camphorhall.core.jobs.ShardOutput.Note
import org.camphorhall.core.model.Resources

/**
 * Decides for one shard of jobs which task starts where, and what is told to callers and agents. One process at a time
 * owns a shard; everything that it may forget is in the records of [nextCommit]. Orders and acknowledgements that follow
 * from a state leave only after that state is stored.
 *
 * Not thread-safe. Times are milliseconds of one monotonic clock.
 */
public class JobShard(private val settings: JobShardSettings = JobShardSettings()) {
    private val jobs = LinkedHashMap<String, JobState>()
    private val workers = LinkedHashMap<WorkerKey, WorkerState>()
    private val sessions = HashMap<Long, WorkerState>()
    private val unsaved = LinkedHashSet<String>()
    private val outputs = mutableListOf<ShardOutput>()
    private val scheduling = TaskScheduling(settings)
    private var classes: Map<String, JobClass>? = null

    /** Takes all decisions that are to be carried out since the last call. */
    public fun takeOutputs(): List<ShardOutput> = outputs.toList().also { outputs.clear() }

    /** Puts the operators' classes of work in force. */
    public fun configure(inForce: Map<String, JobClass>) {
        classes = inForce
    }

    /**
     * Restores [stored] jobs after the shard was taken over. Work recorded on a worker that does not report is taken to
     * run until [leasesEndAt].
     */
    public fun recover(stored: List<StoredJob>, leasesEndAt: Long, now: Long) {
        for (s in stored) {
            val job = JobState(s.record, now)
            jobs[s.record.id] = job
            job.revision = s.progressRevision
            val damaged = s.progress?.let(job::restore).orEmpty()
            damaged.forEach { note("progress row not understood", job = s.record.id, detail = it) }
            if (job.phase.isFinal) job.endedAt = now
            for (t in job.allTasks) {
                val key = t.worker ?: continue
                val w = workers.getOrPut(key) { unreportedWorker(key, leasesEndAt) }
                w.assign(t)
                t.order = OrderId(EARLIER_OWNER, 0)
                t.assignedAt = now
                t.progressAt = now
            }
            if (s.cancelled) cancel(s.record.id, now)
        }
    }

    /** Takes an accepted job; nothing happens if it is known. */
    public fun accept(record: JobRecord, now: Long) {
        if (record.id in jobs) return
        jobs[record.id] = JobState(record, now)
    }

    /** Cancels a job. Returns false if it is not known. */
    public fun cancel(id: String, now: Long): Boolean {
        val job = jobs[id] ?: return false
        if (!job.phase.isFinal) finish(job, JobPhase.Cancelled, now)
        return true
    }

    /** State of a job as callers may see it; null if it is not known. */
    public fun phaseOf(id: String): JobPhase? {
        val job = jobs[id] ?: return null
        // A cancellation is stored by the entry that took it.
        return if (job.phase == JobPhase.Cancelled) job.phase else job.committedPhase
    }

    /** Number of accepted jobs of a class for which no task has started. */
    public fun pending(classId: String): Int =
        jobs.values.count { it.record.jobClass.id == classId && it.committedPhase == JobPhase.Queued && !it.phase.isFinal }

    /** Number of jobs that have not ended. */
    public val activeJobs: Int get() = jobs.values.count { !it.phase.isFinal }

    /** What the shard holds at [now], for logs and metrics. */
    public fun summary(now: Long): ShardSummary {
        val usable = workers.values.filter { it.canTakeWork(now, settings.silentMillis) }
        val active = jobs.values.filter { !it.phase.isFinal }
        return ShardSummary(
            workers = workers.size,
            usableWorkers = usable.size,
            activeJobs = active.size,
            waitingJobs = active.count { it.phase == JobPhase.Queued },
            runningTasks = workers.values.sumOf { it.assigned.size },
            cpuMillis = usable.sumOf { it.profile.capacity.cpuMillis },
            reservedCpuMillis = usable.sumOf { it.reserved.cpuMillis },
            backfillCpuMillis = usable.sumOf { it.backfillCpu },
            unsavedJobs = unsaved.size,
        )
    }

    /** Takes a report that came on connection [session], a number that no earlier connection had. */
    public fun report(session: Long, report: WorkerReport, now: Long) {
        val key = report.profile.key
        val w = workers.getOrPut(key) { WorkerState(report.profile) }
        if (w.session != session) attach(w, session)
        val wasDraining = w.profile.draining
        w.profile = report.profile
        if (report.profile.draining && !wasDraining) note("worker drains", worker = key.toString())
        w.lastReportAt = now
        w.reachable = report.reachable
        w.healthy = report.healthy
        w.backfillPercent = report.backfillPercent
        w.leaseEndsAt = if (report.reachable) {
            now + settings.leaseMillis * DRIFT_NUMERATOR / DRIFT_DENOMINATOR + settings.leaseSlackMillis
        } else {
            minOf(w.leaseEndsAt, now + report.leaseLeftMillis)
        }
        report.ended.forEach { takeEnd(w, it, now) }
        report.refused.forEach { takeRefusal(w, it) }
        if (report.gone) releaseAll(w, "worker process is gone") else takeList(w, report, now)
        if (report.reachable) w.isListed = true
        acknowledge(w)
    }

    /** Notes that connection [session] ended. */
    public fun detach(session: Long) {
        val w = sessions.remove(session) ?: return
        if (w.session != session) return
        w.session = null
        w.isListed = false
    }

    /** Finds expired leases, repeats stops, forgets old jobs and places waiting tasks. [wallMillis] is since 1970. */
    public fun tick(now: Long, wallMillis: Long) {
        for (w in workers.values.toList()) {
            if (now < w.leaseEndsAt) continue
            if (w.assigned.isNotEmpty()) releaseAll(w, "lease expired")
            if (w.session == null) workers.remove(w.key)
        }
        for (w in workers.values) {
            repeatStops(w, now)
            moveStragglers(w, now)
            evacuate(w, now)
        }
        for (t in scheduling.throttledBackfill(workers.values, now)) {
            val w = t.worker?.let(workers::get) ?: continue
            note("attempt moved", task = t.ref, attempt = t.attempt, worker = w.key.id, detail = "throttled")
            stop(w, t, now)
        }
        place(now, wallMillis)
    }

    /** Places waiting tasks where they fit. */
    public fun place(now: Long, wallMillis: Long) {
        val active = jobs.values.filter { !it.phase.isFinal }
        val assigned = scheduling.place(active, workers.values, { classes?.get(it.id) ?: it }, now, wallMillis)
        for (t in assigned) {
            val job = jobs.getValue(t.ref.job)
            if (job.phase == JobPhase.Queued) job.phase = JobPhase.Running
            job.outbox += Outgoing.Start(t.ref, t.attempt)
            unsaved += job.record.id
        }
    }

    /** The next records to store; null if there are none. One commit may be under way at a time. */
    public fun nextCommit(): Commit? {
        if (unsaved.isEmpty()) return null
        val ids = unsaved.take(settings.jobsPerCommit)
        unsaved -= ids.toSet()
        val outgoing = mutableListOf<Outgoing>()
        val writes = ids.mapNotNull { jobs[it] }.map { job ->
            outgoing += job.outbox
            job.outbox.clear()
            Commit.Write(job.record.id, job.toProgress(), job.revision)
        }
        return Commit(writes, outgoing)
    }

    /** Notes that [commit] is stored at [revision], and releases what waited for it. */
    public fun committed(commit: Commit, revision: Long, now: Long) {
        for (w in commit.writes) {
            val job = jobs[w.job] ?: continue
            job.revision = revision
            job.committedPhase = w.record.phase
        }
        val touched = LinkedHashSet<WorkerState>()
        for (o in commit.outgoing) {
            when (o) {
                is Outgoing.Start -> sendStart(o, now)
                is Outgoing.Acknowledge -> workers[o.worker]?.let {
                    it.noteStored(o.number)
                    touched += it
                }
            }
        }
        touched.forEach(::acknowledge)
    }

    /** Takes the final jobs out of memory whose retention has passed, and returns their ids. */
    public fun expire(now: Long): List<String> {
        val old = jobs.values.filter { it.phase.isFinal && it.endedAt + settings.retentionMillis < now }
            .filter { job -> job.allTasks.all { it.worker == null } && job.record.id !in unsaved }
            .map { it.record.id }
        jobs -= old.toSet()
        return old
    }

    private fun unreportedWorker(key: WorkerKey, leaseEndsAt: Long): WorkerState =
        WorkerState(WorkerProfile(key, service = "", failureDomain = "", capacity = Resources.None)).also {
            it.leaseEndsAt = leaseEndsAt
        }

    /** Ties [w] to a new connection. Any earlier life of a worker on the same instance has ended. */
    private fun attach(w: WorkerState, session: Long) {
        w.session?.let(sessions::remove)
        w.session = session
        w.isListed = false
        w.lastOrder = 0
        sessions[session] = w
        val earlier = workers.values.filter { it.key.instance == w.key.instance && it.key != w.key }
        for (e in earlier) {
            e.session?.let { if (sessions[it] === e) sessions.remove(it) }
            releaseAll(e, "worker restarted")
            workers.remove(e.key)
        }
        note("agent attached", worker = w.key.toString())
    }

    private fun takeEnd(w: WorkerState, end: AttemptEnd, now: Long) {
        if (end.number <= w.lastEnd) return
        w.noteEnd(end.number)
        val job = jobs[end.task.job]
        val t = job?.task(end.task)
        if (job == null || t == null || t.worker != w.key || t.attempt != end.attempt) {
            // Taken into account by an earlier owner or given up before.
            w.noteStored(end.number)
            return
        }
        note("attempt ended", task = t.ref, attempt = end.attempt, worker = w.key.id, detail = end.cause.name)
        unassign(w, t)
        if (end.checkpoint.isNotEmpty()) t.checkpoint = end.checkpoint
        when (end.cause) {
            EndCause.Done -> takeDone(w, job, t, now)
            EndCause.Failed -> takeFailure(w, job, t, now)
            else -> Unit
        }
        job.outbox += Outgoing.Acknowledge(w.key, end.number)
        unsaved += job.record.id
    }

    private fun takeDone(w: WorkerState, job: JobState, t: TaskState, now: Long) {
        if (t.spec.longRunning) return
        w.health.noteDone()
        t.doneAfter = now - t.assignedAt
        val step = job.step(t.ref) ?: return
        if (t.spec.gang) step.tasks.forEach(step::markDone) else step.markDone(t)
        if (job.isDone && !job.phase.isFinal) finish(job, JobPhase.Completed, now)
    }

    private fun takeFailure(w: WorkerState, job: JobState, t: TaskState, now: Long) {
        w.health.noteFailed(job.record.id, now)
        t.avoided += w.key.instance
        if (t.spec.longRunning) return
        t.failures++
        val failures = if (t.spec.gang) job.step(t.ref)?.tasks?.sumOf { it.failures } ?: 0 else t.failures
        val limit = (classes?.get(job.record.jobClass.id) ?: job.record.jobClass).maxAttempts
        if (failures >= limit && !job.phase.isFinal) finish(job, JobPhase.Failed, now)
    }

    private fun takeRefusal(w: WorkerState, refusal: RefusedStart) {
        val job = jobs[refusal.task.job] ?: return
        val t = job.task(refusal.task) ?: return
        if (t.worker != w.key || t.attempt != refusal.attempt) return
        note("start refused", task = t.ref, attempt = t.attempt, worker = w.key.id, detail = refusal.reason)
        unassign(w, t)
        t.avoided += w.key.instance
        unsaved += job.record.id
    }

    /** Compares the list of running attempts with what was ordered. */
    private fun takeList(w: WorkerState, report: WorkerReport, now: Long) {
        val running = report.running.associateBy { it.task }
        for (t in w.assigned.values.toList()) {
            val row = running[t.ref]
            if (row != null && row.attempt == t.attempt) {
                update(t, row, now)
            } else if (isOrderDone(t, w, report) && report.reachable) {
                note("attempt lost", task = t.ref, attempt = t.attempt, worker = w.key.id)
                unassign(w, t)
                unsaved += t.ref.job
            }
        }
        for (row in report.running) {
            if (w.assigned[row.task]?.attempt != row.attempt) sendStop(w, row.task, row.attempt)
        }
    }

    private fun isOrderDone(t: TaskState, w: WorkerState, report: WorkerReport): Boolean {
        // A task without an order waits for its record to be stored.
        val order = t.order ?: return false
        return order.session != w.session || order.number <= report.ordersDone
    }

    private fun update(t: TaskState, row: AttemptRow, now: Long) {
        if (row.checkpoint.isNotEmpty()) t.checkpoint = row.checkpoint
        if (row.percent != t.percent) t.progressAt = now
        t.percent = row.percent
        t.load = row.load
    }

    private fun finish(job: JobState, phase: JobPhase, now: Long) {
        note("job ended", job = job.record.id, detail = phase.name)
        job.phase = phase
        job.endedAt = now
        unsaved += job.record.id
        for (t in job.allTasks) {
            val w = t.worker?.let(workers::get) ?: continue
            if (t.order == null) {
                // The start was not sent and is dropped when its record is stored.
                unassign(w, t)
            } else {
                stop(w, t, now)
            }
        }
    }

    private fun stop(w: WorkerState, t: TaskState, now: Long) {
        t.stopSentAt = now
        sendStop(w, t.ref, t.attempt)
    }

    private fun repeatStops(w: WorkerState, now: Long) {
        for (t in w.assigned.values) {
            val sentAt = t.stopSentAt ?: continue
            if (now - sentAt >= settings.stopRetryMillis) stop(w, t, now)
        }
    }

    /** Stops what a draining worker will not finish and what can go on elsewhere. The rest may end there. */
    private fun evacuate(w: WorkerState, now: Long) {
        if (!w.profile.draining || !w.isListed) return
        val left = (w.profile.remainingMillis ?: 0) - (now - w.lastReportAt) - settings.stopMillis
        for (t in w.assigned.values) {
            if (t.order == null || t.stopSentAt != null) continue
            val restMillis = if (t.percent == 0) Long.MAX_VALUE else (now - t.assignedAt) * (FULL - t.percent) / t.percent
            if (t.spec.longRunning || t.spec.checkpoints && restMillis > left) {
                note("attempt moved", task = t.ref, attempt = t.attempt, worker = w.key.id, detail = "worker drains")
                stop(w, t, now)
            }
        }
    }

    private fun moveStragglers(w: WorkerState, now: Long) {
        if (!w.canTakeWork(now, settings.silentMillis)) return
        val slow = Stragglers.find(w, { jobs[it.ref.job]?.step(it.ref) }, now)
        if (slow.isEmpty()) return
        w.health.noteSlow(now)
        for (t in slow) {
            note("attempt moved", task = t.ref, attempt = t.attempt, worker = w.key.id, detail = "worker is slow")
            t.avoided += w.key.instance
            stop(w, t, now)
        }
    }

    private fun sendStop(w: WorkerState, task: TaskRef, attempt: Int) {
        val session = w.session ?: return
        outputs += ShardOutput.Send(session, Order.Stop(++w.lastOrder, task, attempt))
    }

    private fun sendStart(o: Outgoing.Start, now: Long) {
        val job = jobs[o.task.job] ?: return
        val t = job.task(o.task) ?: return
        val w = t.worker?.let(workers::get) ?: return
        if (t.attempt != o.attempt || t.order != null) return
        val session = w.session
        if (session == null || !w.isListed || w.profile.draining || job.phase.isFinal) {
            // Nothing was sent on any connection, so the attempt does not run.
            unassign(w, t)
            unsaved += job.record.id
            return
        }
        val order = Order.Start(++w.lastOrder, t.ref, t.attempt, job.spec.payload, t.checkpoint, traitsOf(t))
        t.order = OrderId(session, order.number)
        t.assignedAt = now
        t.progressAt = now
        outputs += ShardOutput.Send(session, order)
    }

    private fun traitsOf(t: TaskState) =
        TaskTraits(t.spec.backfill, t.spec.latencyTargetMillis, t.spec.demand.cpuMillis, t.spec.image)

    /** Traits of the tasks that are assigned to the worker on [session], for an agent that has restarted. */
    public fun traits(session: Long): Map<TaskRef, TaskTraits> =
        sessions[session]?.assigned?.mapValues { (_, t) -> traitsOf(t) }.orEmpty()

    private fun releaseAll(w: WorkerState, cause: String) {
        for (t in w.assigned.values.toList()) {
            note("attempt lost", task = t.ref, attempt = t.attempt, worker = w.key.id, detail = cause)
            unassign(w, t)
            unsaved += t.ref.job
        }
    }

    private fun unassign(w: WorkerState, t: TaskState) {
        w.unassign(t)
        t.release()
    }

    private fun acknowledge(w: WorkerState) {
        val session = w.session ?: return
        outputs += ShardOutput.AcknowledgeEnds(session, w.storedEnds)
    }

    private fun note(
        event: String,
        job: String? = null,
        task: TaskRef? = null,
        attempt: Int? = null,
        worker: String? = null,
        detail: String? = null,
    ) {
        outputs += Note(event, job ?: task?.job, task, attempt, worker, detail)
    }

    private companion object {
        /** The clock of a worker may run 2 % slow; 3 % also covers the owner's own. */
        const val DRIFT_NUMERATOR = 103
        const val DRIFT_DENOMINATOR = 100

        /** Percent of a task that is done. */
        const val FULL = 100L

        /** Stands for the connection on which an earlier owner sent an order. */
        const val EARLIER_OWNER = -1L
    }
}
