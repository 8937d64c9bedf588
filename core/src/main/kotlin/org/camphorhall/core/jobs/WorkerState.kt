package org.camphorhall.core.jobs

import org.camphorhall.core.model.Resources

/** A worker in the memory of a shard's owner. */
internal class WorkerState(var profile: WorkerProfile) {
    val key: WorkerKey get() = profile.key

    /** The connection to the agent; null while there is none. */
    var session: Long? = null

    /** Whether a report came on the present connection, so that the worker's lists are known. */
    var isListed = false
    var lastReportAt = 0L

    /** From this time on everything that the worker ran has surely stopped. */
    var leaseEndsAt = 0L
    var reachable = true
    var healthy = true

    /** Number of the last order on the present connection. */
    var lastOrder = 0L

    val assigned = LinkedHashMap<TaskRef, TaskState>()
    val health = WorkerHealth()

    /** Demand of assigned tasks, without the processors of backfill tasks. */
    var reserved = Resources.None
        private set

    /** Processor demand of assigned backfill tasks, in thousandths of a core. */
    var backfillCpu = 0L
        private set

    /** Processor demand of assigned serving tasks, in thousandths of a core. */
    var servingCpu = 0L
        private set

    /** Share of their processors that backfill tasks get on this worker, in percent. */
    var backfillPercent = 100

    /** Processors that further backfill tasks would get, in thousandths of a core. */
    val backfillRoom: Long get() = idleCpu * backfillPercent / 100 - backfillCpu

    /** Greatest number of an end that was taken into account. */
    var lastEnd = 0L

    /** Ends that are taken into account and not stored yet. */
    private val unstoredEnds = sortedSetOf<Long>()

    /** All ends up to this number are stored. */
    val storedEnds: Long get() = (unstoredEnds.firstOrNull() ?: (lastEnd + 1)) - 1

    val idleCpu: Long get() = profile.capacity.cpuMillis - reserved.cpuMillis

    val rack: String? get() = profile.labels.getOrNull(1)

    fun canTakeWork(now: Long, silentMillis: Long): Boolean = session != null && isListed && reachable && healthy &&
        !profile.draining && now - lastReportAt < silentMillis

    fun assign(t: TaskState) {
        assigned[t.ref] = t
        reserved += t.spec.reserved
        if (t.spec.backfill) backfillCpu += t.spec.demand.cpuMillis
        if (t.spec.isServing) servingCpu += t.spec.demand.cpuMillis
    }

    fun unassign(t: TaskState) {
        if (assigned.remove(t.ref) == null) return
        reserved -= t.spec.reserved
        if (t.spec.backfill) backfillCpu -= t.spec.demand.cpuMillis
        if (t.spec.isServing) servingCpu -= t.spec.demand.cpuMillis
    }

    fun noteEnd(number: Long) {
        lastEnd = maxOf(lastEnd, number)
        unstoredEnds += number
    }

    fun noteStored(number: Long) {
        unstoredEnds -= number
    }

    fun tasksOf(step: StepState): Int = assigned.values.count {
        it.ref.job == step.tasks.first().ref.job && it.ref.occurrence == step.occurrence && it.ref.step == step.index
    }
}
