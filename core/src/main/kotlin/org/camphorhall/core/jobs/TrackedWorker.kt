package org.camphorhall.core.jobs

import org.camphorhall.core.model.Resources

/** In-memory state of a worker. */
internal class TrackedWorker(var profile: WorkerProfile) {
    val key: WorkerKey get() = profile.key

    /** Id of the connection to the agent; null while disconnected. */
    var session: Long? = null

    /** Greatest [WorkerReport.connection] so far. */
    var connection = 0L

    /** Whether a complete report of the reachable worker was received on the current connection. */
    var hasReported = false
    var lastReportAt = 0L

    /** Time from which all attempts of the worker are guaranteed to have stopped. */
    var leaseEndsAt = 0L
    var reachable = true

    /**
     * Attempts whose starts may have reached another incarnation of the worker, so that they may run longer than until
     * [leaseEndsAt]; null if any start may have. An agent that still responds knows them.
     */
    var unconfirmedStarts: Set<StartedAttempt>? = null

    /** Last number of an end acknowledged on the current connection; null before the first acknowledgement. */
    var acknowledgedEnds: Long? = null

    /** Number of the last command on the current connection. */
    var lastCommand = 0L

    val assigned = LinkedHashMap<TaskRef, TrackedTask>()
    val health = WorkerHealth()

    /** Last logged health state. */
    var loggedHealthState = WorkerHealthState.Healthy

    /** Demand of assigned tasks, without the CPU demand of backfill tasks. */
    var reserved = Resources.None
        private set

    /** CPU demand of assigned backfill tasks, in thousandths of a core. */
    var backfillCpu = 0L
        private set

    /** CPU demand of assigned serving tasks, in thousandths of a core. */
    var servingCpu = 0L
        private set

    /** Whether the worker may have got more room since the last placement pass. */
    var mayHaveMoreRoom = true

    /** Cached value of [fullShareBackfillUtilization]; null after a change of the tasks or of their usage. */
    private var utilization: Map<String, Double>? = null

    /** Records that tasks have ended, or that new measurements were reported. */
    fun recordChange() {
        mayHaveMoreRoom = true
        utilization = null
    }

    /** Time of the last sample added to the interference model, on the worker's clock. */
    var lastSampleAtMillis = 0L

    /**
     * CPU available to further backfill tasks, in thousandths of a core. Serving tasks leave part of their demand
     * unused. Beside serving tasks, backfill tasks count with their demand rather than their usage, since the usage of
     * throttled tasks does not show how much CPU is free.
     */
    val freeBackfillCpu: Long
        get() = if (servingCpu > 0) {
            idleCpu + unusedServingCpu - backfillCpu
        } else {
            idleCpu - assigned.values.filter { it.spec.backfill }.sumOf { it.usedCpu }
        }

    /** CPU that the serving tasks leave unused of their demand, in thousandths of a core. */
    val unusedServingCpu: Long get() = servingCpu * UNUSED_PERCENT / FULL_PERCENT

    /** CPU that jobs can reserve: all but the demand of tasks that run until their job is cancelled. */
    val reservableCpu: Long
        get() {
            val lasting = assigned.values.filter { it.spec.longRunning }.sumOf { it.spec.reserved.cpuMillis }
            return (profile.capacity.cpuMillis - lasting).coerceAtLeast(0)
        }

    /** Assigned tasks with a latency target. */
    val serving: List<TrackedTask> get() = assigned.values.filter { it.spec.isServing }

    /** Fraction of the worker's CPU that the assigned backfill tasks use at their full shares, by image. */
    fun fullShareBackfillUtilization(): Map<String, Double> =
        utilization ?: measuredUtilization().also { utilization = it }

    private fun measuredUtilization(): Map<String, Double> =
        assigned.values.filter { it.spec.backfill }.groupBy { it.image }.mapValues { (_, tasks) ->
            tasks.sumOf { it.fullShareCpu } / profile.capacity.cpuMillis.coerceAtLeast(1).toDouble()
        }

    /** Greatest number of a processed end. */
    var lastEnd = 0L

    /** Numbers of the ends that are processed but not stored yet. */
    private val unstoredEnds = sortedSetOf<Long>()

    /** All ends up to this number are stored. */
    val storedEnds: Long get() = (unstoredEnds.firstOrNull() ?: (lastEnd + 1)) - 1

    val idleCpu: Long get() = profile.capacity.cpuMillis - reserved.cpuMillis

    val rack: String? get() = profile.labels.getOrNull(1)

    /** Time from which the attempt of [t] is guaranteed not to run, unless a list of the worker shows it. */
    fun attemptEndsAt(t: TrackedTask, settings: JobShardSettings): Long {
        val isConfirmed = unconfirmedStarts?.let { StartedAttempt(t.ref, t.attempt) !in it } ?: false
        val isBoundByLease = t.isListed || t.startCommand == null || isConfirmed
        return if (isBoundByLease) leaseEndsAt else leaseEndsAt + settings.unlistedAttemptMillis
    }

    fun canTakeWork(now: Long, reportTimeoutMillis: Long): Boolean = session != null && hasReported && reachable &&
        !profile.draining && now - lastReportAt < reportTimeoutMillis

    fun assign(t: TrackedTask) {
        assigned[t.ref] = t
        utilization = null
        reserved += t.spec.reserved
        if (t.spec.backfill) backfillCpu += t.spec.demand.cpuMillis
        if (t.spec.isServing) servingCpu += t.spec.demand.cpuMillis
    }

    fun unassign(t: TrackedTask) {
        if (assigned.remove(t.ref) == null) return
        recordChange()
        reserved -= t.spec.reserved
        if (t.spec.backfill) backfillCpu -= t.spec.demand.cpuMillis
        if (t.spec.isServing) servingCpu -= t.spec.demand.cpuMillis
    }

    fun recordEnd(number: Long) {
        lastEnd = maxOf(lastEnd, number)
        unstoredEnds += number
    }

    fun recordStored(number: Long) {
        unstoredEnds -= number
    }

    fun tasksOf(step: StepRef): Int = assigned.keys.count { it.stepRef == step }

    private companion object {
        const val FULL_PERCENT = 100

        /**
         * Part of their CPU demand that serving tasks are assumed to leave unused, in percent, as a reserve for load
         * fluctuations. If they use more, backfill tasks get less than their demand.
         */
        const val UNUSED_PERCENT = 50
    }
}

/** The room that jobs share on [workers]. */
internal fun roomOn(workers: Collection<TrackedWorker>): Room =
    Room(workers.sumOf { it.reservableCpu }, workers.sumOf { it.reservableCpu + it.unusedServingCpu })
