package org.camphorhall.core.jobs

/** In-memory state of a job. [recordRevision] is the store revision of [record]; 0 if it is not known. */
internal class TrackedJob(val record: JobRecord, val arrivedAt: Long, val recordRevision: Long = 0) {
    val spec: JobSpec get() = record.spec

    private val steps: List<List<TrackedStep>> = List(spec.occurrences) { k ->
        spec.steps.mapIndexed { i, s -> TrackedStep(record.id, k, i, s) }
    }

    /** Current phase; [JobPhase.Queued] until a worker is known to have begun a task. */
    var phase = JobPhase.Queued

    /** Phase in the last progress record that is known to be stored. */
    var committedPhase = JobPhase.Queued

    /** Store revision of the progress record; 0 if there is none. */
    var revision = 0L

    /** Number of entries that a write of the progress takes in a transaction, with its conditions. */
    val entriesPerWrite: Int get() = if (revision == 0L && recordRevision > 0) 3 else 2

    /** When the job reached its final phase. */
    var endedAt = 0L

    /** Start of the time in which backfill tasks are ready but no task of the job is assigned; null otherwise. */
    var starvedSince: Long? = null

    /** Whether the job was deferred, because others that need less room would have missed their targets. */
    var wasDeferred = false

    /** Instances on which tasks of the job failed. */
    var failedOn: Set<String> = emptySet()

    /** Messages to send once the current state is stored. */
    val outbox = mutableListOf<Outgoing>()

    val allSteps: Sequence<TrackedStep> get() = steps.asSequence().flatten()

    val allTasks: Sequence<TrackedTask> get() = allSteps.flatMap { it.tasks }

    val isDone: Boolean get() = allSteps.all { it.isDone }

    /** Time by which the job should end, derived from the estimated critical path and the targets of its class. */
    fun deadline(): Long = arrivedAt + targetMillis(criticalPathMillis, record.jobClass)

    private val criticalPathMillis = spec.criticalPathMillis { true }

    /** Estimated duration of the longest chain of dependent steps that are not done, in milliseconds. */
    fun remainingPathMillis(): Long =
        steps.maxOfOrNull { inOccurrence -> spec.criticalPathMillis { !inOccurrence[it].isDone } } ?: 0L

    /** Estimated work of the tasks that are not done, in core-milliseconds. */
    fun remainingWork(): Double = allSteps.filterNot { it.spec.longRunning }
        .sumOf { s -> s.spec.taskWork() * (s.tasks.size - s.doneCount) }

    fun task(ref: TaskRef): TrackedTask? = step(ref)?.tasks?.getOrNull(ref.index)

    fun step(ref: TaskRef): TrackedStep? = step(ref.stepRef)

    fun step(ref: StepRef): TrackedStep? = steps.getOrNull(ref.occurrence)?.getOrNull(ref.step)

    /** Whether a task waits for a worker; its step need not be ready. */
    fun mayHaveWaiting(): Boolean = !phase.isFinal && allSteps.any { it.hasWaiting }

    /** Unfinished steps whose predecessors are done and whose occurrence, in a repeated job, is due. */
    fun readySteps(wallMillis: Long): Sequence<TrackedStep> {
        if (phase.isFinal) return emptySequence()
        return steps.asSequence().filterIndexed { k, _ -> isDue(k, wallMillis) }.flatMap { inOccurrence ->
            inOccurrence.asSequence().filter { s ->
                !s.isDone && s.spec.after.all { inOccurrence.getOrNull(it)?.isDone ?: false }
            }
        }
    }

    private fun isDue(occurrence: Int, wallMillis: Long): Boolean {
        val r = spec.repeat ?: return true
        return wallMillis >= r.firstAtMillis + occurrence * r.intervalMillis
    }

    /** Phase for callers, to whom the end of the job is shown once it is stored. */
    val visiblePhase: JobPhase
        get() = when {
            // A cancellation is stored before the shard is notified of it.
            phase == JobPhase.Cancelled || !phase.isFinal -> phase
            committedPhase.isFinal -> committedPhase
            else -> JobPhase.Running
        }

    /** Records that a worker has begun a task. */
    fun recordBegun() {
        if (phase == JobPhase.Queued) phase = JobPhase.Running
    }

    /** An assigned task may have begun by the time at which the record is read. */
    private val recordedPhase: JobPhase
        get() = if (phase == JobPhase.Queued && allTasks.any { it.worker != null }) JobPhase.Running else phase

    fun toProgress(): ProgressRecord {
        val workers = LinkedHashMap<String, Int>()
        val recorded = allTasks.filter { it.attempt > 0 || it.done }.toList()
        val rows = recorded.map { t ->
            val worker = t.worker?.let { key -> workers.getOrPut(key.toString()) { workers.size } } ?: -1
            TaskProgress(
                t.ref.occurrence,
                t.ref.step,
                t.ref.index,
                t.attempt,
                t.done,
                t.failures,
                worker,
                t.checkpoint,
            ).encode()
        }
        val listed = recorded.joinToString("") { if (it.isListed) "$LISTED" else "0" }.trimEnd('0')
        val failedGangs = allSteps.filter { it.failedAttempt > 0 }
            .map { "${it.occurrence},${it.index},${it.failedAttempt}" }.toList()
        return ProgressRecord(recordedPhase, workers.keys.toList(), rows, listed, failedGangs)
    }

    /** Restores the state from [progress]. Returns the rows that are invalid or refer to no task of the job. */
    fun restore(progress: ProgressRecord): List<String> {
        val invalidRows = mutableListOf<String>()
        phase = progress.phase
        committedPhase = progress.phase
        for ((i, text) in progress.tasks.withIndex()) {
            val row = TaskProgress.decode(text)
            val step = row?.let { steps.getOrNull(it.occurrence)?.getOrNull(it.step) }
            val task = row?.let { step?.tasks?.getOrNull(it.index) }
            if (row == null || step == null || task == null) {
                invalidRows += text
                continue
            }
            task.attempt = row.attempt
            task.failures = row.failures
            task.checkpoint = row.checkpoint
            task.worker = progress.workers.getOrNull(row.worker)?.let(WorkerKey::parse)
            task.isListed = progress.listed.getOrNull(i) == LISTED
            if (row.done) step.markDone(task)
        }
        invalidRows += progress.failedGangs.filterNot(::restoreFailedGang)
        if (phase == JobPhase.Running && isOnlyAssigned()) phase = JobPhase.Queued
        return invalidRows
    }

    private fun restoreFailedGang(row: String): Boolean {
        val (occurrence, step, attempt) = row.split(',').map { it.toIntOrNull() }.takeIf { it.size == GANG_FIELDS }
            ?: return false
        if (occurrence == null || step == null || attempt == null) return false
        val tracked = steps.getOrNull(occurrence)?.getOrNull(step) ?: return false
        tracked.failedAttempt = attempt
        return true
    }

    /** Whether tasks are assigned and none shows a result. The lists of their workers tell whether one has begun. */
    private fun isOnlyAssigned(): Boolean = allTasks.any { it.worker != null } &&
        allTasks.none { it.done || it.failures > 0 || it.checkpoint.isNotEmpty() }

    private companion object {
        /** Marks the row of a listed attempt in [ProgressRecord.listed]. */
        const val LISTED = '1'

        /** Number of fields of a row in [ProgressRecord.failedGangs]. */
        const val GANG_FIELDS = 3
    }
}

/** A message to send once the state that it results from is stored. */
internal sealed interface Outgoing {
    /** Starts an attempt on the worker of its task. */
    data class Start(val task: TaskRef, val attempt: Int) : Outgoing

    /** Acknowledges the end of an attempt to its worker. */
    data class Acknowledge(val worker: WorkerKey, val number: Long) : Outgoing
}
