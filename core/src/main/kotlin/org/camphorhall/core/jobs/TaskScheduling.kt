package org.camphorhall.core.jobs

/**
 * Chooses which waiting tasks start, and on which workers. Jobs are processed as [sortedByPriority], so that short jobs
 * do not wait for long ones whose deadline is later.
 */
internal class TaskScheduling(
    private val settings: JobShardSettings,
    private val forecast: BackfillForecast,
    private val policy: PlacementPolicy = interferenceAwarePlacement(forecast),
) {
    /** Number of checks whether a waiting task fits on a worker. */
    var fitChecks = 0L
        private set

    /** Assigns the waiting tasks that fit, and returns them. [classOf] returns the current configuration of a class. */
    fun place(
        jobs: List<TrackedJob>,
        workers: Collection<TrackedWorker>,
        classOf: (JobClass) -> JobClass,
        now: Long,
        wallMillis: Long,
    ): List<TrackedTask> {
        val usable = workers.filter { it.canTakeWork(now, settings.reportTimeoutMillis) }
        if (usable.isEmpty()) return emptyList()
        val healthStateOf = healthStatesOf(usable, now)
        val placed = mutableListOf<TrackedTask>()
        val waiting = jobs.filter { it.mayHaveWaiting() }
        if (waiting.isEmpty()) return emptyList()
        val workersByService = usable.groupBy { it.profile.service }
        val rejected = RejectedPlacements()
        for (job in waiting.sortedByPriority(now) { classOf(it.record.jobClass).priority }) {
            val jobClass = classOf(job.record.jobClass)
            val serviceWorkers = workersByService[jobClass.service].orEmpty()
            val candidates = Candidates(serviceWorkers, healthStateOf, jobClass, now, rejected)
            for (step in job.readySteps(wallMillis)) placed += placeStep(step, candidates)
            placed += placeStarved(job, candidates, wallMillis)
        }
        return placed
    }

    /**
     * Starts one backfill task of a starved job even if the CPU that it needs is used by other backfill tasks.
     * Otherwise large jobs would wait for as long as smaller ones keep arriving.
     */
    private fun placeStarved(job: TrackedJob, candidates: Candidates, wallMillis: Long): List<TrackedTask> {
        val now = candidates.now
        val t = job.readySteps(wallMillis).filter { it.spec.backfill && !it.spec.gang }
            .flatMap { it.tasks }.firstOrNull { it.isWaiting }
        // A start may still be rejected, so only a task that has begun ends the time.
        if (t == null || job.allTasks.any { it.firstReportedAt != null }) job.starvedSince = null
        if (t == null || job.allTasks.any { it.worker != null }) return emptyList()
        val since = job.starvedSince ?: now.also { job.starvedSince = it }
        if (now - since < settings.starvationMillis) return emptyList()
        val step = job.step(t.ref) ?: return emptyList()
        val w = candidates.healthy.filter { hasFreeCapacity(t, it) && it.idleCpu >= t.spec.demand.cpuMillis }
            .maxByOrNull { it.idleCpu - it.backfillCpu } ?: return emptyList()
        assign(t, w, t.attempt + 1, now)
        return listOf(t)
    }

    /**
     * Throttled backfill tasks that would get most of their CPU on another worker. A task with an unknown share stays,
     * since its agent sets the share next. Only tasks that resume from a
     * checkpoint are moved, and at most one per target worker at a time.
     */
    fun throttledBackfill(workers: Collection<TrackedWorker>, now: Long): List<TrackedTask> {
        val usable = workers.filter { it.canTakeWork(now, settings.reportTimeoutMillis) }
        val healthStateOf = healthStatesOf(usable, now)
        val targets = usable.filter { healthStateOf(it) == WorkerHealthState.Healthy }.toMutableList()
        return workers.flatMap { it.assigned.values }
            .filter { it.spec.backfill && it.spec.checkpoints && it.stopCause == null && it.startCommand != null }
            .filter { t -> t.share.let { it != null && it < settings.throttledSharePercent } }
            .filter { it.percent < NEARLY_DONE_PERCENT }
            .filter { now - it.assignedAt >= settings.moveDelayMillis * (1 + it.moves) }
            .sortedBy { it.share }
            .filter { t -> targets.remove(betterWorker(t, targets)) }
    }

    private fun betterWorker(t: TrackedTask, workers: List<TrackedWorker>): TrackedWorker? =
        workers.filter { it.key != t.worker && hasFreeCapacity(t, it) }
            .map { it to forecast.share(t, it) }
            .filter { (_, share) -> share >= MIN_MOVE_SHARE }
            .maxByOrNull { (_, share) -> share }?.first

    private fun placeStep(step: TrackedStep, candidates: Candidates): List<TrackedTask> {
        if (!step.hasWaiting) return emptyList()
        return if (step.spec.gang) placeGang(step, candidates) else placeTasks(step, candidates)
    }

    private fun placeTasks(step: TrackedStep, candidates: Candidates): List<TrackedTask> {
        val placed = mutableListOf<TrackedTask>()
        for (t in step.tasks) {
            if (!t.isWaiting) continue
            val w = choose(t, candidates) ?: break
            assign(t, w, t.attempt + 1, candidates.now)
            placed += t
        }
        return placed
    }

    /** Assigns all tasks of a gang with the same attempt number, or none of them. */
    private fun placeGang(step: TrackedStep, candidates: Candidates): List<TrackedTask> {
        if (step.tasks.any { !it.isWaiting }) return emptyList()
        val attempt = step.tasks.maxOf { it.attempt } + 1
        val healthy = candidates.healthy
        val racks = if (step.spec.singleRack) healthy.groupBy { it.rack }.values.toList() else listOf(healthy)
        for (rack in racks) {
            val placed = mutableListOf<Pair<TrackedTask, TrackedWorker>>()
            for (t in step.tasks) {
                val w = chooseHealthy(t, rack) ?: break
                w.assign(t)
                placed += t to w
            }
            val isComplete = placed.size == step.tasks.size
            for ((t, w) in placed) {
                w.unassign(t)
                if (isComplete) assign(t, w, attempt, candidates.now)
            }
            if (isComplete) return step.tasks
        }
        return emptyList()
    }

    private fun assign(t: TrackedTask, w: TrackedWorker, attempt: Int, now: Long) {
        t.attempt = attempt
        t.worker = w.key
        t.assignedAt = now
        w.assign(t)
    }

    private fun choose(t: TrackedTask, candidates: Candidates): TrackedWorker? {
        val isRejected = candidates.rejected.isRejected(t, candidates.service)
        val healthy = if (isRejected) null else chooseHealthy(t, candidates.healthy)
        if (healthy == null && !isRejected) candidates.rejected.record(t, candidates.service)
        return healthy ?: candidates.forProbe(t).firstOrNull { fits(t, it) }
    }

    private fun chooseHealthy(t: TrackedTask, healthy: List<TrackedWorker>): TrackedWorker? {
        val fitting = healthy.filter { fits(t, it) }
        val usable = fitting.filter { it.key.instance !in t.avoidedInstances }.ifEmpty { fitting }
        return if (usable.isEmpty()) null else policy(t, usable)
    }

    /** The usable workers for the tasks of one job of class [jobClass], by health state. */
    private class Candidates(
        workers: List<TrackedWorker>,
        healthStateOf: (TrackedWorker) -> WorkerHealthState,
        private val jobClass: JobClass,
        val now: Long,
        val rejected: RejectedPlacements,
    ) {
        val service: String get() = jobClass.service
        val healthy = workers.filter { healthStateOf(it) == WorkerHealthState.Healthy }
        private val onProbation = workers.filter { healthStateOf(it) == WorkerHealthState.OnProbation }

        /**
         * Workers on probation that may run [t] to test their health. Excludes tasks on their last attempt and
         * instances on which the task failed, unless no healthy worker could ever run the task.
         */
        fun forProbe(t: TrackedTask): List<TrackedWorker> {
            val idle = onProbation.filter { w -> w.assigned.values.all { it.spec.longRunning } }
            return when {
                idle.isEmpty() || healthy.none { couldEverRun(t, it) } -> idle
                t.failures + 1 >= jobClass.maxAttempts -> emptyList()
                else -> idle.filter { it.key.instance !in t.avoidedInstances }
            }
        }

        private fun couldEverRun(t: TrackedTask, w: TrackedWorker): Boolean =
            (t.spec.requiredLabel == null || t.spec.requiredLabel in w.profile.labels) &&
                t.spec.reserved fitsIn w.profile.capacity
    }

    private fun fits(t: TrackedTask, w: TrackedWorker): Boolean {
        fitChecks++
        return hasFreeCapacity(t, w) && (!t.spec.backfill || forecast.share(t, w) >= MIN_START_SHARE)
    }

    /** Whether the worker has the required label and the unreserved capacity, and may run another task of the step. */
    private fun hasFreeCapacity(t: TrackedTask, w: TrackedWorker): Boolean {
        val spec = t.spec
        if (spec.requiredLabel != null && spec.requiredLabel !in w.profile.labels) return false
        if (spec.maxPerWorker != null && w.tasksOf(t.ref.stepRef) >= spec.maxPerWorker) return false
        return w.reserved + spec.reserved fitsIn w.profile.capacity
    }

    private companion object {
        /** Progress from which the remaining work of a task is not worth a restart. */
        const val NEARLY_DONE_PERCENT = 85

        /** Minimum expected CPU share, as a fraction, to start a backfill task, and to move a throttled one. */
        const val MIN_START_SHARE = 0.9
        const val MIN_MOVE_SHARE = 0.95
    }
}
