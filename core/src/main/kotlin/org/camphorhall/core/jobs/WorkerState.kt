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

    /**
     * Processors that further backfill tasks would get, in thousandths of a core. Backfill tasks beside serving tasks
     * count with what they declare, since their use says nothing of what is left when they already share too little.
     */
    val backfillRoom: Long
        get() {
            val backfill = assigned.values.filter { it.spec.backfill }
            val taken = backfill.sumOf { if (servingCpu > 0) it.spec.demand.cpuMillis else it.usedCpu }
            return idleCpu * backfillPercent / FULL_PERCENT - taken
        }

    /**
     * Processors that backfill tasks would get beside serving tasks that keep a part of what they declare in reserve,
     * in thousandths of a core.
     */
    val reserveRoom: Long
        get() = (idleCpu + servingCpu * RESERVE_PERCENT / FULL_PERCENT) * backfillPercent / FULL_PERCENT - backfillCpu

    /** The last figures of serving and backfill tasks that run here together. */
    var figure: SharedFigure? = null

    /** Parts of the processors that backfill tasks use here, by image, with [more] and as [cpuOf] tells for a task. */
    fun backfillUse(more: TaskState? = null, cpuOf: (TaskState) -> Long): Map<String, Double> =
        (assigned.values.filter { it.spec.backfill } + listOfNotNull(more))
            .groupBy { it.spec.image ?: ImageDisturbance.NO_IMAGE }
            .mapValues { (_, tasks) -> tasks.sumOf(cpuOf) / profile.capacity.cpuMillis.coerceAtLeast(1).toDouble() }

    /** Figures of the present report; null unless serving tasks run here and their figures are known. */
    fun sharedFigure(): SharedFigure? {
        val serving = assigned.values.filter { it.spec.isServing && it.order != null }
        val pressures = serving.map { t -> t.load?.let { it.toDouble() / (t.spec.latencyTargetMillis ?: 1) } }
        val pressure = pressures.filterNotNull().maxOrNull()
        if (pressure == null || null in pressures) return null
        return SharedFigure(pressure, backfillUse { it.load ?: 0 }, serving.map { it.ref }.toSet())
    }

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

    private companion object {
        const val FULL_PERCENT = 100

        /**
         * Part of their declared processors that serving tasks are taken to leave unused, in percent: they keep a
         * reserve for swings of their load. Where they use more, backfill tasks get less than they declare.
         */
        const val RESERVE_PERCENT = 50
    }
}
