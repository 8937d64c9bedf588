package org.camphorhall.core.jobs

/**
 * Chooses which waiting tasks start, and on which workers. Jobs are processed as [sortedByPriority], so that short jobs
 * do not wait for long ones whose deadline is later.
 */
internal class TaskScheduling(
    private val settings: JobShardSettings,
    private val forecast: BackfillForecast,
    private val policy: PlacementPolicy = interferenceAwarePlacement(forecast),
    private val rankByRoom: RoomRanking = ::rankByRoom,
    /** Whether the operators allow starts on a worker at a time. */
    private val allowStart: (worker: TrackedWorker, now: Long) -> Boolean = { _, _ -> true },
) {
    /** Number of checks whether a waiting task fits on a worker. */
    var fitChecks = 0L
        private set

    private val rejected = RejectedPlacements()
    private var rankedAt = Long.MIN_VALUE / 2
    private var rankedJobs: Set<TrackedJob> = emptySet()

    /** The jobs in the order of the last pass that found waiting tasks. */
    var ranked: List<RankedJob> = emptyList()
        private set

    /** Assigns the waiting tasks that fit, and returns them. [classOf] returns the current configuration of a class. */
    fun place(
        jobs: List<TrackedJob>,
        workers: Collection<TrackedWorker>,
        classOf: (JobClass) -> JobClass,
        now: Long,
        wallMillis: Long,
    ): List<TrackedTask> {
        val usable = workers.filter { mayTakeTasks(it, now) }
        if (usable.isEmpty()) return emptyList()
        val healthStateOf = healthStatesOf(usable, now)
        val placed = mutableListOf<TrackedTask>()
        if (jobs.none { it.mayHaveWaiting() }) return emptyList()
        val workersByService = usable.groupBy { it.profile.service }
        val pools = workersByService.mapValues { (_, ofService) -> WorkerPools(ofService, healthStateOf) }
        rejected.beginPass(now)
        ranked = rank(jobs, workersByService, classOf, now)
        for (job in ranked.map { it.job }.filter { it.mayHaveWaiting() }) {
            val jobClass = classOf(job.record.jobClass)
            val candidates = Candidates(pools[jobClass.service] ?: WorkerPools.None, jobClass, now)
            for (step in job.readySteps(wallMillis)) placed += placeStep(step, candidates)
            placed += placeStarved(job, candidates, wallMillis)
        }
        val checked = pools.values.flatMapTo(HashSet()) { it.healthy }
        // A worker that was not checked has room that the rejected tasks do not know of.
        workers.forEach { it.mayHaveMoreRoom = it !in checked }
        return placed
    }

    /**
     * Ranks all [jobs] by service, since those that only run need room too. The order is kept for [RANKING_MILLIS]
     * unless there is another job.
     */
    private fun rank(
        jobs: List<TrackedJob>,
        workersByService: Map<String, List<TrackedWorker>>,
        classOf: (JobClass) -> JobClass,
        now: Long,
    ): List<RankedJob> {
        if (now - rankedAt < RANKING_MILLIS && rankedJobs.containsAll(jobs)) return ranked
        rankedAt = now
        rankedJobs = jobs.toHashSet()
        return rankAnew(jobs, workersByService, classOf, now)
    }

    private fun rankAnew(
        jobs: List<TrackedJob>,
        workersByService: Map<String, List<TrackedWorker>>,
        classOf: (JobClass) -> JobClass,
        now: Long,
    ): List<RankedJob> = jobs.groupBy { classOf(it.record.jobClass).service }.flatMap { (service, ofService) ->
        ofService.sortedByPriority(now, roomOn(workersByService[service].orEmpty()), rankByRoom) {
            classOf(it.record.jobClass).priority
        }
    }

    /**
     * Starts what waits for a preference only: one task or gang of a job of which nothing runs, and each task that runs
     * until its job is cancelled. Otherwise they would wait for as long as the preference cannot be met.
     */
    private fun placeStarved(job: TrackedJob, candidates: Candidates, wallMillis: Long): List<TrackedTask> {
        val now = candidates.now
        val waiting = job.readySteps(wallMillis).filter { it.hasWaiting }.toList()
        // A start may still be rejected, so only a task that has begun ends the time.
        if (waiting.isEmpty() || job.allTasks.any { it.firstReportedAt != null }) job.starvedSince = null
        if (waiting.isEmpty()) return emptyList()
        val placed = mutableListOf<TrackedTask>()
        if (job.allTasks.none { it.worker != null }) {
            val since = job.starvedSince ?: now.also { job.starvedSince = it }
            if (now - since >= settings.starvationMillis) {
                placed += waiting.firstNotNullOfOrNull { placeAnywhere(it, candidates) }.orEmpty()
            }
        }
        for (step in waiting.filter { it.spec.longRunning && !it.spec.gang }) {
            for (t in step.tasks.filter { it.isWaiting }) {
                val since = t.waitingSince ?: now.also { t.waitingSince = it }
                if (now - since >= settings.starvationMillis) placed += placeTaskAnywhere(t, step, candidates) ?: break
            }
        }
        return placed
    }

    /** Places the first waiting task of [step], or its gang, wherever it may run; returns null if it fits nowhere. */
    private fun placeAnywhere(step: TrackedStep, candidates: Candidates): List<TrackedTask>? = if (step.spec.gang) {
        val groups = candidates.forStarved(step).runningReduce { all, next -> all + next }
        placeGang(step, groups, candidates.now, ::chooseAnywhere).ifEmpty { null }
    } else {
        step.tasks.firstOrNull { it.isWaiting }?.let { placeTaskAnywhere(it, step, candidates) }?.let(::listOf)
    }

    private fun placeTaskAnywhere(t: TrackedTask, step: TrackedStep, candidates: Candidates): TrackedTask? {
        // Other tasks than backfill tasks wait only if they fit on no healthy worker.
        val workers = candidates.forStarved(step).drop(if (t.spec.backfill) 0 else 1)
        val w = workers.firstNotNullOfOrNull { chooseAnywhere(t, it) } ?: return null
        assign(t, w, t.attempt + 1, candidates.now)
        return t
    }

    /** Backfill tasks get the CPU that others leave unused, however little that is. */
    private fun chooseAnywhere(t: TrackedTask, workers: List<TrackedWorker>): TrackedWorker? {
        val usable = preferNotAvoided(t, workers.filter { hasFreeCapacity(t, it) })
        return when {
            usable.isEmpty() -> null
            t.spec.backfill -> usable.maxByOrNull { it.idleCpu - it.backfillCpu }
            else -> policy(t, usable)
        }
    }

    /**
     * Throttled backfill tasks that would get most of their CPU on another worker. A task with an unknown share stays,
     * since its agent sets the share next. Only tasks that resume from a
     * checkpoint are moved, and at most one per target worker at a time.
     */
    fun throttledBackfill(workers: Collection<TrackedWorker>, now: Long): List<TrackedTask> {
        val usable = workers.filter { mayTakeTasks(it, now) }
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

    private fun mayTakeTasks(w: TrackedWorker, now: Long): Boolean =
        w.canTakeWork(now, settings.reportTimeoutMillis) && allowStart(w, now)

    private fun betterWorker(t: TrackedTask, workers: List<TrackedWorker>): TrackedWorker? =
        workers.filter { it.key != t.worker && hasFreeCapacity(t, it) }
            .map { it to forecast.share(t, it) }
            .filter { (_, share) -> share >= MIN_MOVE_SHARE }
            .maxByOrNull { (_, share) -> share }?.first

    private fun placeStep(step: TrackedStep, candidates: Candidates): List<TrackedTask> {
        if (!step.hasWaiting) return emptyList()
        return if (step.spec.gang) placeHealthyGang(step, candidates) else placeTasks(step, candidates)
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

    /** Places a gang on healthy workers: on one rack if it asks for that, and on several after a wait that pays off. */
    private fun placeHealthyGang(step: TrackedStep, candidates: Candidates): List<TrackedTask> {
        val healthy = candidates.healthy
        if (!step.spec.singleRack) return placeGang(step, listOf(healthy), candidates.now, ::chooseHealthy)
        val racks = healthy.groupBy { it.rack }.values.toList()
        val since = step.rackWaitSince ?: candidates.now.also { step.rackWaitSince = it }
        val mayCrossRacks =
            candidates.now - since >= rackWaitMillis(step.spec) || racks.none { couldEverHold(step, it) }
        val groups = if (mayCrossRacks) racks.plusElement(healthy) else racks
        return placeGang(step, groups, candidates.now, ::chooseHealthy)
    }

    /**
     * How long a gang waits for a single rack: as long as its tasks would take longer on several racks, so that the
     * wait costs at most what it may save.
     */
    private fun rackWaitMillis(spec: StepSpec): Long =
        minOf(settings.starvationMillis, (spec.estimateMillis * (settings.crossRackFactor - 1)).toLong())

    /** Assigns all tasks of a gang to workers of one of [groups] with the same attempt number, or none of them. */
    private fun placeGang(
        step: TrackedStep,
        groups: List<List<TrackedWorker>>,
        now: Long,
        choose: (TrackedTask, List<TrackedWorker>) -> TrackedWorker?,
    ): List<TrackedTask> {
        if (step.tasks.any { !it.isWaiting }) return emptyList()
        val attempt = step.tasks.maxOf { it.attempt } + 1
        for (workers in groups) {
            val placed = mutableListOf<Pair<TrackedTask, TrackedWorker>>()
            for (t in step.tasks) {
                val w = choose(t, workers) ?: break
                w.assign(t)
                placed += t to w
            }
            val isComplete = placed.size == step.tasks.size
            for ((t, w) in placed) {
                w.unassign(t)
                if (isComplete) assign(t, w, attempt, now)
            }
            if (!isComplete) continue
            step.rackWaitSince = null
            return step.tasks
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
        val healthy = when (rejected.scopeOf(t, candidates.service)) {
            PlacementScope.AllWorkers -> chooseHealthy(t, candidates.healthy)
            PlacementScope.ChangedWorkers -> chooseHealthy(t, candidates.changed)
            PlacementScope.None -> null
        }
        if (healthy == null) rejected.record(t, candidates.service, candidates.now)
        return healthy ?: candidates.forProbe(t).firstOrNull { fits(t, it) }
    }

    private fun chooseHealthy(t: TrackedTask, healthy: List<TrackedWorker>): TrackedWorker? {
        val usable = preferNotAvoided(t, healthy.filter { fits(t, it) })
        return if (usable.isEmpty()) null else policy(t, usable)
    }

    private fun preferNotAvoided(t: TrackedTask, workers: List<TrackedWorker>): List<TrackedWorker> =
        workers.filter { it.key.instance !in t.avoidedInstances }.ifEmpty { workers }

    /** The usable [workers] of a service in one pass, by health state. */
    private class WorkerPools(workers: List<TrackedWorker>, healthStateOf: (TrackedWorker) -> WorkerHealthState) {
        private val byState = workers.groupBy(healthStateOf)
        val healthy = byState[WorkerHealthState.Healthy].orEmpty()
        val onProbation = byState[WorkerHealthState.OnProbation].orEmpty()
        val quarantined = byState[WorkerHealthState.Quarantined].orEmpty()

        /** The healthy workers that may have got more room since the last pass. */
        val changed = healthy.filter { it.mayHaveMoreRoom }

        companion object {
            val None = WorkerPools(emptyList()) { WorkerHealthState.Healthy }
        }
    }

    /** The usable workers for the tasks of one job of class [jobClass], by health state. */
    private class Candidates(pools: WorkerPools, private val jobClass: JobClass, val now: Long) {
        val service: String get() = jobClass.service
        val healthy = pools.healthy
        val changed = pools.changed
        private val onProbation = pools.onProbation
        private val quarantined = pools.quarantined

        /**
         * Workers on probation that may run [t] to test their health. Excludes tasks on their last attempt and
         * instances on which the task failed, unless no healthy worker could ever run the task.
         */
        fun forProbe(t: TrackedTask): List<TrackedWorker> {
            val idle = onProbation.filter(::isIdle)
            return when {
                idle.isEmpty() || healthy.none { couldEverRun(t, it) } -> idle
                t.failures + 1 >= jobClass.maxAttempts -> emptyList()
                else -> idle.filter { it.key.instance !in t.avoidedInstances }
            }
        }

        /**
         * Workers for a task or gang of [step] that has waited too long, in groups that follow each other: the healthy
         * ones, those on probation and those in quarantine. Tasks whose failures count use the latter two only if the
         * healthy ones could never hold the step, and only for one task or gang at a time.
         */
        fun forStarved(step: TrackedStep): List<List<TrackedWorker>> {
            if (onProbation.isEmpty() && quarantined.isEmpty()) return listOf(healthy)
            val isLastAttempt = step.tasks.any { step.failuresOf(it) + 1 >= jobClass.maxAttempts }
            return when {
                step.spec.longRunning -> listOf(healthy, onProbation, quarantined)
                couldEverHold(step, healthy) -> listOf(healthy)
                isLastAttempt -> listOf(healthy, onProbation.filter(::isIdle))
                else -> listOf(healthy, onProbation.filter(::isIdle), quarantined.filter(::isIdle))
            }
        }

        private fun isIdle(w: TrackedWorker): Boolean = w.assigned.values.all { it.spec.longRunning }
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
        /** Ranks follow from times of seconds, and ranking all jobs at each event would cost more than placing them. */
        const val RANKING_MILLIS = 100L

        /** Progress from which the remaining work of a task is not worth a restart. */
        const val NEARLY_DONE_PERCENT = 85

        /** Minimum expected CPU share, as a fraction, to start a backfill task, and to move a throttled one. */
        const val MIN_START_SHARE = 0.9
        const val MIN_MOVE_SHARE = 0.95
    }
}

private fun couldEverRun(t: TrackedTask, w: TrackedWorker): Boolean = tasksThatFit(t.spec, w) > 0

/** Number of tasks that [w] could run at the same time without other tasks. */
private fun tasksThatFit(spec: StepSpec, w: TrackedWorker): Long {
    if (spec.requiredLabel != null && spec.requiredLabel !in w.profile.labels) return 0
    val capacity = w.profile.capacity
    val limits = listOf(
        capacity.cpuMillis to spec.reserved.cpuMillis,
        capacity.memoryMib to spec.reserved.memoryMib,
        capacity.accelerators.toLong() to spec.reserved.accelerators.toLong(),
    ).filter { (_, demand) -> demand > 0 }.map { (available, demand) -> available / demand }
    return (limits + (spec.maxPerWorker ?: Int.MAX_VALUE).toLong()).min()
}

/** Whether [workers], without other tasks, could hold a task of [step], or all of them if it is a gang. */
private fun couldEverHold(step: TrackedStep, workers: List<TrackedWorker>): Boolean {
    val needed = if (step.spec.gang) step.tasks.size else 1
    return workers.sumOf { minOf(tasksThatFit(step.spec, it), needed.toLong()) } >= needed
}
