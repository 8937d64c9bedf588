package org.camphorhall.core.jobs

import org.camphorhall.core.model.Resources

/** A worker in the memory of a shard's owner. */
internal class TrackedWorker(var profile: WorkerProfile) {
    val key: WorkerKey get() = profile.key

    /** The connection to the agent; null while there is none. */
    var session: Long? = null

    /** Whether a report came on the present connection, so that the worker's lists are known. */
    var hasReported = false
    var lastReportAt = 0L

    /** From this time on everything that the worker ran has surely stopped. */
    var leaseEndsAt = 0L
    var reachable = true

    /** Ends up to this number were acknowledged on the present connection; null before the first message. */
    var acknowledgedEnds: Long? = null

    /** Number of the last order on the present connection. */
    var lastCommand = 0L

    val assigned = LinkedHashMap<TaskRef, TrackedTask>()
    val health = WorkerHealth()

    /** The last standing that was logged. */
    var loggedHealthState = WorkerHealthState.Healthy

    /** Demand of assigned tasks, without the processors of backfill tasks. */
    var reserved = Resources.None
        private set

    /** Processor demand of assigned backfill tasks, in thousandths of a core. */
    var backfillCpu = 0L
        private set

    /** Processor demand of assigned serving tasks, in thousandths of a core. */
    var servingCpu = 0L
        private set

    /** Time of the last figures that were learned from, on the worker's clock. */
    var lastSampleAtMillis = 0L

    /**
     * Processors that further backfill tasks would get, in thousandths of a core. Serving tasks leave a part of what
     * they declare unused. Beside them backfill tasks count with what they declare, since their use says nothing of
     * what is left when they share too little.
     */
    val freeBackfillCpu: Long
        get() = if (servingCpu > 0) {
            idleCpu + servingCpu * UNUSED_PERCENT / FULL_PERCENT - backfillCpu
        } else {
            idleCpu - assigned.values.filter { it.spec.backfill }.sumOf { it.usedCpu }
        }

    /** Assigned tasks with a latency target. */
    val serving: List<TrackedTask> get() = assigned.values.filter { it.spec.isServing }

    /** Parts of the processors that the assigned backfill tasks use with their full shares, by image. */
    fun fullShareBackfillUtilization(): Map<String, Double> =
        assigned.values.filter { it.spec.backfill }.groupBy { it.image }.mapValues { (_, tasks) ->
            tasks.sumOf { it.fullShareCpu } / profile.capacity.cpuMillis.coerceAtLeast(1).toDouble()
        }

    /** Greatest number of an end that was taken into account. */
    var lastEnd = 0L

    /** Ends that are taken into account and not stored yet. */
    private val unstoredEnds = sortedSetOf<Long>()

    /** All ends up to this number are stored. */
    val storedEnds: Long get() = (unstoredEnds.firstOrNull() ?: (lastEnd + 1)) - 1

    val idleCpu: Long get() = profile.capacity.cpuMillis - reserved.cpuMillis

    val rack: String? get() = profile.labels.getOrNull(1)

    fun canTakeWork(now: Long, reportTimeoutMillis: Long): Boolean = session != null && hasReported && reachable &&
        !profile.draining && now - lastReportAt < reportTimeoutMillis

    fun assign(t: TrackedTask) {
        assigned[t.ref] = t
        reserved += t.spec.reserved
        if (t.spec.backfill) backfillCpu += t.spec.demand.cpuMillis
        if (t.spec.isServing) servingCpu += t.spec.demand.cpuMillis
    }

    fun unassign(t: TrackedTask) {
        if (assigned.remove(t.ref) == null) return
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
         * Part of their declared processors that serving tasks are taken to leave unused, in percent: they keep a
         * reserve for swings of their load. Where they use more, backfill tasks get less than they declare.
         */
        const val UNUSED_PERCENT = 50
    }
}
