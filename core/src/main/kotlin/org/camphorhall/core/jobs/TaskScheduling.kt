package org.camphorhall.core.jobs

/**
 * Chooses which waiting tasks start and where. Jobs go by [jobOrder], so that short work is not held up by
 * long work that has time.
 */
internal class TaskScheduling(
    private val settings: JobShardSettings,
    private val disturbance: ImageDisturbance,
    private val policy: PlacementPolicy = separateServingFromBackfill,
) {
    /** Assigns what fits now and returns the tasks that were assigned. */
    fun place(
        jobs: List<JobState>,
        workers: Collection<WorkerState>,
        classOf: (JobClass) -> JobClass,
        now: Long,
        wallMillis: Long,
    ): List<TaskState> {
        val usable = workers.filter { it.canTakeWork(now, settings.silentMillis) }
        if (usable.isEmpty()) return emptyList()
        val placed = mutableListOf<TaskState>()
        val ordered = jobs.sortedWith(jobOrder(now) { classOf(it.record.jobClass).priority })
        for (job in ordered) {
            val service = classOf(job.record.jobClass).service
            val candidates = usable.filter { it.profile.service == service }
            for (step in job.readySteps(wallMillis)) placed += placeStep(step, candidates, now)
            placed += placeStarved(job, candidates, now, wallMillis)
        }
        return placed
    }

    /**
     * Starts one backfill task of a job that has had nothing running for a while, although its room is taken by other
     * backfill tasks. Without this, large jobs would wait for as long as smaller ones keep coming.
     */
    private fun placeStarved(job: JobState, workers: List<WorkerState>, now: Long, wallMillis: Long): List<TaskState> {
        val t = job.readySteps(wallMillis).filter { it.spec.backfill && !it.spec.gang }
            .flatMap { it.tasks }.firstOrNull { it.isWaiting }
        if (t == null || job.allTasks.any { it.worker != null }) {
            job.starvedSince = null
            return emptyList()
        }
        val since = job.starvedSince ?: now.also { job.starvedSince = it }
        if (now - since < settings.starvedAfterMillis) return emptyList()
        val step = job.step(t.ref) ?: return emptyList()
        val w = workers.filter { mayRun(step, t, it) && it.idleCpu >= t.spec.demand.cpuMillis }
            .filter { !it.health.isSuspect(now) }
            .maxByOrNull { it.idleCpu - it.backfillCpu } ?: return emptyList()
        assign(t, w, t.attempt + 1, now)
        return listOf(t)
    }

    /**
     * Backfill tasks that are throttled beside serving tasks and would get all their processors on a worker without
     * any. Only tasks that resume from a checkpoint are moved, one to each such worker at a time.
     */
    fun throttledBackfill(workers: Collection<WorkerState>, now: Long): List<TaskState> {
        val usable = workers.filter { it.canTakeWork(now, settings.silentMillis) && !it.health.isSuspect(now) }
        val (serving, free) = usable.partition { it.servingCpu > 0 }
        val throttled = serving.filter { it.backfillPercent < settings.throttledPercent }
            .sortedBy { it.backfillPercent }
            .flatMap { it.assigned.values }
            .filter { it.spec.backfill && it.spec.checkpoints && it.stopSentAt == null && it.order != null }
            .filter { it.percent < NEARLY_DONE_PERCENT && now - it.assignedAt >= settings.moveAfterMillis }
            .toMutableList()
        return free.mapNotNull { target ->
            val t = throttled.firstOrNull { it.spec.demand.cpuMillis <= target.backfillRoom && fitsBeside(it, target) }
            t?.also(throttled::remove)
        }
    }

    private fun fitsBeside(t: TaskState, w: WorkerState): Boolean =
        w.reserved + t.spec.reserved fitsIn w.profile.capacity &&
            (t.spec.requiredLabel == null || t.spec.requiredLabel in w.profile.labels)

    private fun placeStep(step: StepState, workers: List<WorkerState>, now: Long): List<TaskState> {
        if (!step.hasWaiting) return emptyList()
        return if (step.spec.gang) placeGang(step, workers, now) else placeTasks(step, workers, now)
    }

    private fun placeTasks(step: StepState, workers: List<WorkerState>, now: Long): List<TaskState> {
        val placed = mutableListOf<TaskState>()
        for (t in step.tasks) {
            if (!t.isWaiting) continue
            val w = choose(step, t, workers, now) ?: break
            assign(t, w, t.attempt + 1, now)
            placed += t
        }
        return placed
    }

    /** A gang starts whole, with one attempt number, or not at all. */
    private fun placeGang(step: StepState, workers: List<WorkerState>, now: Long): List<TaskState> {
        if (step.tasks.any { !it.isWaiting }) return emptyList()
        val attempt = step.tasks.maxOf { it.attempt } + 1
        val racks = if (step.spec.singleRack) workers.groupBy { it.rack }.values.toList() else listOf(workers)
        for (rack in racks) {
            val placed = mutableListOf<Pair<TaskState, WorkerState>>()
            for (t in step.tasks) {
                val w = choose(step, t, rack, now) ?: break
                w.assign(t)
                placed += t to w
            }
            val isWhole = placed.size == step.tasks.size
            for ((t, w) in placed) {
                w.unassign(t)
                if (isWhole) assign(t, w, attempt, now)
            }
            if (isWhole) return step.tasks
        }
        return emptyList()
    }

    private fun assign(t: TaskState, w: WorkerState, attempt: Int, now: Long) {
        t.attempt = attempt
        t.worker = w.key
        t.assignedAt = now
        t.progressAt = now
        w.assign(t)
    }

    private fun choose(step: StepState, t: TaskState, workers: List<WorkerState>, now: Long): WorkerState? {
        val fitting = workers.filter { fits(step, t, it) }
        val sound = fitting.filter { !it.health.isSuspect(now) && it.key.instance !in t.avoided }
        val usable = sound.ifEmpty { fitting.filter { !it.health.isSuspect(now) } }.ifEmpty { fitting }
        return if (usable.isEmpty()) null else policy(t, usable)
    }

    private fun fits(step: StepState, t: TaskState, w: WorkerState): Boolean =
        mayRun(step, t, w) && (!t.spec.backfill || hasBackfillRoom(t, w))

    private fun hasBackfillRoom(t: TaskState, w: WorkerState): Boolean {
        val cpu = t.spec.demand.cpuMillis
        return when {
            w.backfillRoom >= cpu -> true
            // A task that is larger than the idle processors of any worker still gets one for itself.
            w.servingCpu == 0L -> w.backfillCpu == 0L
            else -> w.reserveRoom >= cpu &&
                disturbance.of(w.backfillUse(t) { it.spec.demand.cpuMillis }) <= ImageDisturbance.TOLERATED
        }
    }

    /** Whether the worker has the labels and the unreserved room that the task needs. */
    private fun mayRun(step: StepState, t: TaskState, w: WorkerState): Boolean {
        val spec = t.spec
        if (spec.requiredLabel != null && spec.requiredLabel !in w.profile.labels) return false
        if (spec.maxPerWorker != null && w.tasksOf(step) >= spec.maxPerWorker) return false
        return w.reserved + spec.reserved fitsIn w.profile.capacity
    }

    private companion object {
        /** The rest of such a task is not worth a restart. */
        const val NEARLY_DONE_PERCENT = 85
    }
}
