package org.camphorhall.core.jobs

/**
 * Predicts the CPU share that a backfill task would get on a worker, and what it costs the serving tasks there.
 *
 * Load pattern: serving tasks, whose load fluctuates within seconds, use about half of the CPU that they declare.
 * Backfill tasks of several images use the rest; some pairs of images interfere several times more than others.
 */
internal class BackfillForecast(private val model: InterferenceModel) {
    /** Fraction of its declared CPU, from 0 to 1, that [t] would get on [w] in addition to the assigned tasks. */
    fun share(t: TrackedTask, w: TrackedWorker): Double =
        if (hasFreeCpu(t, w)) shareByHeadroom(t, w).coerceIn(0.0, 1.0) else 0.0

    /** Largest fraction of a serving task's remaining headroom on [w] that [t] would use; 0 without serving tasks. */
    fun headroomCost(t: TrackedTask, w: TrackedWorker): Double {
        val utilization = w.fullShareBackfillUtilization()
        return w.serving.maxOfOrNull { s ->
            headroomCostOf(s, t, w) / remainingHeadroom(s, utilization).coerceAtLeast(MIN_HEADROOM)
        } ?: 0.0
    }

    /**
     * Whether [w] has enough free CPU for [t]. A worker without serving and backfill tasks always has, so that a task
     * whose demand exceeds the idle CPU of every worker can still run.
     */
    private fun hasFreeCpu(t: TrackedTask, w: TrackedWorker): Boolean =
        w.freeBackfillCpu >= t.spec.demand.cpuMillis || w.servingCpu == 0L && w.backfillCpu == 0L

    private fun shareByHeadroom(t: TrackedTask, w: TrackedWorker): Double {
        val utilization = w.fullShareBackfillUtilization()
        return w.serving.minOfOrNull { s ->
            remainingHeadroom(s, utilization) / headroomCostOf(s, t, w).coerceAtLeast(MIN_HEADROOM)
        } ?: 1.0
    }

    /** Headroom of [s] above [Interference.TARGET_HEADROOM] at this backfill [utilization] of its worker, per image. */
    private fun remainingHeadroom(s: TrackedTask, utilization: Map<String, Double>): Double {
        val usedHeadroom = utilization.entries.sumOf { (image, fraction) -> model.weight(s.image, image) * fraction }
        return model.level(s) - Interference.TARGET_HEADROOM - usedHeadroom
    }

    private fun headroomCostOf(s: TrackedTask, t: TrackedTask, w: TrackedWorker): Double =
        model.weight(s.image, t.image) * t.spec.demand.cpuMillis / w.profile.capacity.cpuMillis.coerceAtLeast(1)

    private companion object {
        /** Keeps quotients finite; a smaller headroom is indistinguishable from zero. */
        const val MIN_HEADROOM = 0.01
    }
}
