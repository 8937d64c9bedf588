package org.camphorhall.core.jobs

/**
 * Keeps the tail latency of long-running tasks under their targets by slowing down the backfill tasks on the same
 * worker.
 *
 * The share of the backfill tasks is cut in proportion while a target is nearly reached and grows in small steps
 * otherwise. The figures of a worker cover half a second, so that one step for each figure is enough.
 */
public class BackfillThrottle {
    /** Share of the processors that backfill tasks may use, in percent. */
    public var percent: Int = FULL
        private set

    /** Greatest tail latency as a part of its target, by the last figures. */
    public var pressure: Double = 0.0
        private set
    private var steppedAt: Long? = null
    private val applied = HashMap<Pair<TaskRef, Int>, Int>()

    /** A share that a task is to get. */
    public data class Share(val task: TaskRef, val attempt: Int, val percent: Int)

    /** Returns the shares to change, given what the worker runs at [now] (milliseconds of a steady clock). */
    public fun decide(running: List<AttemptRow>, traits: Map<TaskRef, TaskTraits>, now: Long): List<Share> {
        pressure = running.filter { it.percent == FULL }.mapNotNull { row ->
            traits[row.task]?.latencyTargetMillis?.let { row.load.toDouble() / it }
        }.maxOrNull() ?: 0.0
        val last = steppedAt
        if (last == null || now - last >= STEP_MILLIS) {
            percent = next(pressure)
            steppedAt = now
        }
        val backfill = running.filter { traits[it.task]?.backfill ?: false }
        applied.keys.retainAll(backfill.map { it.task to it.attempt }.toSet())
        return backfill.filter { (applied[it.task to it.attempt] ?: FULL) != percent }
            .map { Share(it.task, it.attempt, percent) }
    }

    /** Notes that the worker took [share]. */
    public fun applied(share: Share) {
        applied[share.task to share.attempt] = share.percent
    }

    private fun next(pressure: Double): Int = when {
        pressure > HIGH -> cut(pressure)
        pressure < LOW -> (percent + GROWTH).coerceAtMost(FULL)
        else -> percent
    }

    private fun cut(pressure: Double): Int {
        val share = (percent * (AIM / pressure).coerceAtLeast(STEEPEST)).toInt()
        return if (share < LOWEST) 0 else share
    }

    private companion object {
        const val FULL = 100

        /** The period of the worker's figures, in milliseconds. */
        const val STEP_MILLIS = 500L

        /** Part of a target above which backfill tasks are slowed down; a figure lags by up to half a second. */
        const val HIGH = 0.85

        /** Part of a target that a cut aims at, and the smallest factor of one cut. */
        const val AIM = 0.7
        const val STEEPEST = 0.4

        /** Part of a target below which they get more. */
        const val LOW = 0.6

        /** Percent added in one step. */
        const val GROWTH = 10

        /** A smaller share is worth no disturbance. */
        const val LOWEST = 6
    }
}
