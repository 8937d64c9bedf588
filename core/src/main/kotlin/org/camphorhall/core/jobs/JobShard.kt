package org.camphorhall.core.jobs

import org.camphorhall.core.model.Resources

/**
 * Schedules the tasks of one shard of jobs, and produces the messages to its agents. One process at a time owns a shard
 * and keeps its state in memory; the records of [nextCommit] contain all that the next owner needs. Commands and
 * acknowledgements are sent only after the state that they result from is stored.
 *
 * Not thread-safe. Times are in milliseconds of one monotonic clock.
 */
public class JobShard internal constructor(private val settings: JobShardSettings, rankByRoom: RoomRanking) {
    public constructor(settings: JobShardSettings = JobShardSettings()) : this(settings, ::rankByRoom)

    private val state = ShardState(settings)
    private val jobs = state.jobs
    private val workers = state.workers
    private val unsaved = state.unsaved

    /** Arrival times of cancellations, by the ids of jobs whose own notices may be slower. */
    private val earlyCancellations = HashMap<String, Long>()

    /**
     * Ids of the finished jobs whose records are being deleted. They stay in [jobs] until that is known to have
     * happened: otherwise a record that is still there could be taken for that of a new job.
     */
    private val deleting = HashSet<String>()

    /** Jobs that were stored under the ids of tracked ones, after the records of these had been deleted. */
    private val successors = HashMap<String, Successor>()

    /** Ids of the jobs whose records are being written. */
    private var committing: Set<String> = emptySet()
    private val scheduling =
        TaskScheduling(
            settings,
            BackfillForecast(state.interference),
            rankByRoom = rankByRoom,
            allowStart = state.evacuations::allowStart,
        )
    private val reports = ReportHandling(state, settings)
    private val moves = TaskMoves(state, settings, scheduling)

    /** Returns and clears the outputs since the last call. */
    public fun takeOutputs(): List<ShardOutput> = state.outputs.toList().also { state.outputs.clear() }

    /** Replaces the configured classes of work, by id. */
    public fun configure(classes: Map<String, JobClass>) {
        state.classes = classes
    }

    /**
     * Replaces the failure [domains] whose workers get no tasks, as they were at [currentAt]. Without a recent state no
     * task starts, if the settings say that the platform has evacuations.
     */
    public fun evacuate(domains: Set<String>, currentAt: Long) {
        val earlier = state.evacuations.domains
        state.evacuations.update(domains, currentAt)
        if (domains != earlier) workers.values.forEach { it.recordChange() }
        (domains - earlier).forEach { logEvacuation("failure domain evacuated", it) }
        (earlier - domains).forEach { logEvacuation("failure domain in use again", it) }
    }

    private fun logEvacuation(event: String, domain: String) {
        val workers = workers.values.filter { it.profile.failureDomain == domain }
        val tasks = workers.sumOf { it.assigned.size }
        state.logEvent(event, detail = "$domain: ${workers.size} workers, $tasks assigned tasks")
    }

    /**
     * Restores the [stored] jobs after this process became the owner. Attempts on a worker that does not report are
     * assumed to run until [leasesEndAt]. With [wallMillis], in milliseconds since 1970, jobs keep the time at which
     * they were accepted, so that those which have waited too long do not take the room of later ones.
     */
    public fun recover(stored: List<StoredJob>, leasesEndAt: Long, now: Long, wallMillis: Long? = null) {
        state.completeFrom = now + settings.grantedLeaseMillis
        for (s in stored) {
            val age = wallMillis?.let { (it - s.record.acceptedAtMillis).coerceIn(0, settings.retentionMillis) } ?: 0
            val job = TrackedJob(s.record, now - age, s.recordRevision)
            jobs[s.record.id] = job
            job.revision = s.progressRevision
            val invalidRows = s.progress?.let(job::restore).orEmpty()
            invalidRows.forEach { state.logEvent("invalid progress row", job = s.record.id, detail = it) }
            if (job.phase.isFinal) job.endedAt = now
            for (t in job.allTasks) {
                val key = t.worker ?: continue
                val w = workers.getOrPut(key) { unreportedWorker(key, leasesEndAt) }
                w.assign(t)
                t.startCommand = CommandId(CommandId.EARLIER_OWNER, 0)
                t.assignedAt = now
            }
            if (s.cancelled) cancel(s.record.id, now)
        }
    }

    /**
     * Adds an accepted job, whose record has the store [revision] (0 if it is not known); does nothing if the job is
     * already tracked. One whose record is newer replaces the tracked job, whose own record was deleted, once the shard
     * learns of that.
     */
    public fun accept(record: JobRecord, now: Long, revision: Long = 0) {
        val tracked = jobs[record.id]
        if (tracked != null) {
            val isSuccessor = tracked.recordRevision in 1 until revision
            if (isSuccessor) successors[record.id] = Successor(record, revision)
            return
        }
        jobs[record.id] = TrackedJob(record, now, revision)
        if (earlyCancellations.remove(record.id) != null) cancel(record.id, now)
    }

    /** Cancels a job, or does so once it is accepted if there is no such job yet. Returns whether there is. */
    public fun cancel(id: String, now: Long): Boolean {
        val job = jobs[id]
        if (job == null || id in deleting) {
            earlyCancellations[id] = now
            return job != null
        }
        if (!job.phase.isFinal) state.finish(job, JobPhase.Cancelled, now)
        return true
    }

    /** Phase of a job that may be reported to callers; null if there is no such job. */
    public fun phaseOf(id: String): JobPhase? = jobs[id]?.visiblePhase

    /** Number of accepted jobs of a class without a started task. */
    public fun pending(classId: String): Int =
        jobs.values.count { it.record.jobClass.id == classId && it.phase == JobPhase.Queued }

    /** Number of jobs that have not ended. */
    public val activeJobs: Int get() = jobs.values.count { !it.phase.isFinal }

    /** Counts at [now], for logs and metrics. */
    public fun summary(now: Long): ShardSummary {
        val usable = workers.values.filter { it.canTakeWork(now, settings.reportTimeoutMillis) }
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
            fitChecks = scheduling.fitChecks,
            deferredJobs = scheduling.ranked.count { it.isDeferred(now) && !it.job.phase.isFinal },
            evacuatedWorkers = usable.count { !state.evacuations.allowStart(it, now) },
        )
    }

    /**
     * Processes a report received on connection [session], whose id is unique to the connection. Returns whether the
     * worker's lease may be extended from the time of the report; any other extension would not be counted.
     */
    public fun report(session: Long, report: WorkerReport, now: Long): Boolean = reports.handle(session, report, now)

    /** Records that connection [session] was closed. */
    public fun detach(session: Long) {
        val w = state.sessions.remove(session) ?: return
        if (w.session != session) return
        w.session = null
        w.hasReported = false
    }

    /** Releases the tasks of expired leases, stops unwanted attempts, and moves tasks off slow or draining workers. */
    public fun tick(now: Long) {
        for (w in workers.values.toList()) {
            if (now < w.leaseEndsAt) continue
            val report = "last report ${now - w.lastReportAt} ms ago, reachable: ${w.reachable}"
            w.assigned.values.filter { now >= w.attemptEndsAt(it, settings) }
                .forEach { state.release(w, it, "lease expired; $report") }
            if (w.session == null && w.assigned.isEmpty()) workers.remove(w.key)
        }
        state.interference.retainSteps(state.servingSteps())
        moves.check(now)
    }

    /** Assigns waiting tasks to workers with enough free capacity. [wallMillis] is in milliseconds since 1970. */
    public fun place(now: Long, wallMillis: Long) {
        val active = jobs.values.filter { !it.phase.isFinal }
        val assigned = scheduling.place(active, workers.values, state::currentClass, now, wallMillis)
        scheduling.ranked.filter { it.isDeferred(now) && !it.job.wasDeferred }.forEach { logDeferral(it, now) }
        for (t in assigned) {
            val job = jobs.getValue(t.ref.job)
            job.outbox += Outgoing.Start(t.ref, t.attempt)
            unsaved += job.record.id
        }
    }

    private fun logDeferral(r: RankedJob, now: Long) {
        r.job.wasDeferred = true
        val d = r.demand
        val work = d.remainingWork.toLong()
        val detail = "priority ${d.priority}, target in ${d.deadline - now} ms, needs $work core-ms"
        state.logEvent("job deferred", job = r.job.record.id, detail = detail)
    }

    /**
     * The accepted work and the room for it, of the services whose work takes [minBacklogMillis] or more. Empty until
     * all workers had the time to report to this owner: a part of the room would make the work look too large.
     */
    public fun loads(now: Long, minBacklogMillis: Long): List<ShardLoad> {
        if (now < state.completeFrom) return emptyList()
        val known = workers.values.filter { now < it.leaseEndsAt && !it.profile.draining }
            .filter { state.evacuations.allowStart(it, now) }.groupBy { it.profile.service }
        return jobs.values.filter { !it.phase.isFinal }.groupBy { state.currentClass(it.record.jobClass).service }
            .map { (service, ofService) ->
                val demands = ofService.map { it.demand(state.currentClass(it.record.jobClass).priority) }
                shardLoad(service, demands, roomOn(known[service].orEmpty()), now)
            }
            .filter { it.work.isNotEmpty() && it.backlogMillis >= minBacklogMillis }
    }

    /** The next records to store; null if there are none. At most one commit may be in progress. */
    public fun nextCommit(): Commit? {
        val saved = mutableListOf<TrackedJob>()
        var free = settings.entriesPerCommit
        for (id in unsaved) {
            val job = jobs[id]?.takeIf { id !in deleting } ?: continue
            free -= job.entriesPerWrite
            if (free < 0) break
            saved += job
        }
        if (saved.isEmpty()) return null
        committing = saved.mapTo(HashSet()) { it.record.id }
        unsaved -= committing
        val outgoing = mutableListOf<Outgoing>()
        val writes = saved.map { job ->
            outgoing += job.outbox
            job.outbox.clear()
            Commit.Write(job.record.id, job.toProgress(), job.revision, job.recordRevision)
        }
        return Commit(writes, outgoing)
    }

    /**
     * Records that [commit] was stored at [revision], and sends the messages that waited for it. Nothing was written
     * for the [missing] jobs, whose own records are not in the store; these jobs are dropped.
     */
    public fun committed(commit: Commit, revision: Long, now: Long, missing: Set<String> = emptySet()) {
        committing = emptySet()
        for (id in missing) {
            // No start was sent, since this was the first write of the job.
            jobs[id]?.allTasks?.forEach { t -> t.worker?.let(workers::get)?.let { state.unassign(it, t) } }
            state.logEvent("job dropped", job = id, detail = "its record was deleted")
            val isCancelled = jobs[id]?.phase == JobPhase.Cancelled
            remove(id, now)
            // The cancellation may be that of the job that replaces it.
            if (isCancelled) cancel(id, now)
        }
        for (w in commit.writes) {
            val job = jobs[w.job] ?: continue
            job.revision = revision
            job.committedPhase = w.record.phase
        }
        send(commit.outgoing, now)
    }

    /** Removes a job whose records are not in the store, and accepts the one that replaces it, if there is one. */
    private fun remove(id: String, now: Long) {
        unsaved -= id
        // Ends that were listed meanwhile need no record any more.
        jobs.remove(id)?.let { send(it.outbox, now) }
        successors.remove(id)?.let { accept(it.record, now, it.revision) }
    }

    /** Sends the messages in [outgoing], whose causes are stored. */
    private fun send(outgoing: List<Outgoing>, now: Long) {
        val acknowledgedWorkers = LinkedHashSet<TrackedWorker>()
        for (o in outgoing) {
            when (o) {
                is Outgoing.Start -> sendStart(o, now)
                is Outgoing.Acknowledge -> workers[o.worker]?.let {
                    it.recordStored(o.number)
                    acknowledgedWorkers += it
                }
            }
        }
        acknowledgedWorkers.forEach(state::acknowledge)
    }

    /**
     * Ids of the final jobs whose retention time has passed and whose records are to be deleted. They are not returned
     * again, and are tracked until [deleted] is called for them.
     */
    public fun expire(now: Long): List<String> {
        earlyCancellations.values.removeIf { it + settings.retentionMillis < now }
        val expired = jobs.values.filter { it.phase.isFinal && it.endedAt + settings.retentionMillis < now }
            .filter { job -> job.allTasks.all { it.worker == null } }
            .map { it.record.id }
            .filter { it !in unsaved && it !in committing && it !in deleting }
        deleting += expired
        return expired
    }

    /** Store revision of the record of the tracked job [id]; 0 if it is not known. */
    public fun recordRevision(id: String): Long = jobs[id]?.recordRevision ?: 0

    /** Removes the jobs [ids], whose records are known to be deleted. */
    public fun deleted(ids: Collection<String>, now: Long) {
        for (id in ids) {
            deleting -= id
            remove(id, now)
        }
    }

    private class Successor(val record: JobRecord, val revision: Long)

    private fun unreportedWorker(key: WorkerKey, leaseEndsAt: Long): TrackedWorker =
        TrackedWorker(WorkerProfile(key, service = "", failureDomain = "", capacity = Resources.None)).also {
            it.leaseEndsAt = leaseEndsAt
        }

    private fun sendStart(o: Outgoing.Start, now: Long) {
        val job = jobs[o.task.job] ?: return
        val t = job.task(o.task) ?: return
        val w = t.worker?.let(workers::get) ?: return
        if (t.attempt != o.attempt || t.startCommand != null) return
        val session = w.session
        val mayStart = w.hasReported && !w.profile.draining && state.evacuations.allowStart(w, now)
        if (session == null || !mayStart || job.phase.isFinal) {
            // No start command was sent, so the attempt is guaranteed not to run.
            state.unassign(w, t)
            unsaved += job.record.id
            return
        }
        val checkpoint = checkpointOf(job, t)
        val command = WorkerCommand.Start(++w.lastCommand, t.ref, t.attempt, job.spec.payload, checkpoint, profileOf(t))
        t.startCommand = CommandId(session, command.number)
        t.assignedAt = now
        state.outputs += ShardOutput.Send(session, command)
    }

    /** All members of a gang resume from the same checkpoint. */
    private fun checkpointOf(job: TrackedJob, t: TrackedTask): String {
        if (!t.spec.gang) return t.checkpoint
        return job.step(t.ref)?.tasks?.firstOrNull { it.checkpoint.isNotEmpty() }?.checkpoint.orEmpty()
    }

    private fun profileOf(t: TrackedTask) =
        TaskProfile(t.spec.backfill, t.spec.latencyTargetMillis, t.spec.demand.cpuMillis, t.spec.image)

    /** Profiles of the tasks assigned to the worker on [session], for an agent that has restarted. */
    public fun taskProfiles(session: Long): Map<TaskRef, TaskProfile> =
        state.sessions[session]?.assigned?.mapValues { (_, t) -> profileOf(t) }.orEmpty()

    /** Learned interference between the serving and backfill images on the worker on [session]. */
    public fun interference(session: Long): List<Interference> {
        val w = state.sessions[session] ?: return emptyList()
        val backfill = w.assigned.values.filter { it.spec.backfill }.mapTo(LinkedHashSet()) { it.image }
        return w.serving.mapTo(LinkedHashSet()) { it.image }.flatMap { s ->
            backfill.map { b -> Interference(s, b, state.interference.weight(s, b)) }
        }
    }
}
