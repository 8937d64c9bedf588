package org.camphorhall.core.jobs

/** In-memory state of a shard, and the state changes that its components share. */
internal class ShardState(private val settings: JobShardSettings) {
    val jobs = LinkedHashMap<String, TrackedJob>()
    val workers = LinkedHashMap<WorkerKey, TrackedWorker>()

    /** Workers by the connection id of their agent. */
    val sessions = HashMap<Long, TrackedWorker>()

    /** Ids of the jobs whose current state is not stored. */
    val unsaved = LinkedHashSet<String>()
    val outputs = mutableListOf<ShardOutput>()
    val interference = InterferenceModel()
    val evacuations = Evacuations(settings.maxEvacuationAgeMillis)

    /** Time from which all workers that are in use have had the time to report to this owner. */
    var completeFrom = 0L

    /** Configured classes of work by id; null before the first configuration. */
    var classes: Map<String, JobClass>? = null

    /** The current configuration of [jobClass]; [jobClass] itself if it was removed since the job was accepted. */
    fun currentClass(jobClass: JobClass): JobClass = classes?.get(jobClass.id) ?: jobClass

    /** Steps of the serving tasks assigned to workers. */
    fun servingSteps(): Set<StepRef> =
        workers.values.flatMap { it.serving }.mapTo(HashSet()) { it.ref.stepRef }

    fun finish(job: TrackedJob, phase: JobPhase, now: Long) {
        logEvent("job ended", job = job.record.id, detail = phase.name)
        job.phase = phase
        job.endedAt = now
        unsaved += job.record.id
        for (t in job.allTasks) {
            val w = t.worker?.let(workers::get) ?: continue
            if (t.startCommand == null) {
                // No start command was sent; the pending one is dropped once its record is stored.
                unassign(w, t)
            } else {
                stop(w, t, "job ended: ${phase.name}", now)
            }
        }
    }

    /** Stops the attempt of [t], unless a recent command on the current connection to the agent of [w] does so. */
    fun stop(w: TrackedWorker, t: TrackedTask, cause: String, now: Long) {
        t.stopCause = cause
        val session = w.session ?: return
        val last = t.lastStop
        if (last != null && last.session == session && now - last.at < settings.stopRetryMillis) return
        t.lastStop = SentStop(session, now)
        sendStop(w, t.ref, t.attempt, if (last == null) cause else "$cause; no end reported")
    }

    fun sendStop(w: TrackedWorker, task: TaskRef, attempt: Int, cause: String) {
        val session = w.session ?: return
        logEvent("stop sent", task = task, attempt = attempt, worker = w.key.id, detail = cause)
        outputs += ShardOutput.Send(session, WorkerCommand.Stop(++w.lastCommand, task, attempt))
    }

    fun releaseAll(w: TrackedWorker, cause: String): Unit =
        w.assigned.values.toList().forEach { release(w, it, cause) }

    /** Releases the attempt of [t], which is known not to run. */
    fun release(w: TrackedWorker, t: TrackedTask, cause: String) {
        logEvent("attempt lost", task = t.ref, attempt = t.attempt, worker = w.key.id, detail = cause)
        unassign(w, t)
        unsaved += t.ref.job
    }

    /** Moves the running attempt of [t] from the record of one incarnation to that of a later one. */
    fun reassign(t: TrackedTask, from: TrackedWorker, to: TrackedWorker) {
        from.unassign(t)
        t.worker = to.key
        t.startCommand = CommandId(CommandId.EARLIER_OWNER, 0)
        t.isListed = true
        to.assign(t)
        unsaved += t.ref.job
    }

    fun unassign(w: TrackedWorker, t: TrackedTask) {
        w.unassign(t)
        t.release()
    }

    /** Acknowledges the stored ends to the agent of [w], unless the same number was sent on the current connection. */
    fun acknowledge(w: TrackedWorker) {
        val session = w.session ?: return
        if (w.acknowledgedEnds == w.storedEnds) return
        w.acknowledgedEnds = w.storedEnds
        outputs += ShardOutput.AcknowledgeEnds(session, w.storedEnds)
    }

    fun logEvent(
        event: String,
        job: String? = null,
        task: TaskRef? = null,
        attempt: Int? = null,
        worker: String? = null,
        detail: String? = null,
        ranMillis: Long? = null,
    ) {
        outputs += ShardOutput.LogEvent(event, job ?: task?.job, task, attempt, worker, detail, ranMillis)
    }
}
