package org.camphorhall.core.jobs

/**
 * Gives the backfill tasks of one worker as many processors as the serving tasks beside them can bear.
 *
 * Load pattern: the load of serving tasks swings within seconds, inputs lag by half a second, and images differ by ten
 * times in how much they disturb. Each figure tells the headroom that serving tasks would have without backfill tasks;
 * these then get their shares in the order of the headroom that they cost, so that those that disturb most are slowed
 * down first.
 */
public class BackfillThrottle {
    /** Numbers of inputs in a row in which serving tasks were over their targets. */
    private val missedSamples = HashMap<TaskRef, Int>()
    private val shares = HashMap<Pair<TaskRef, Int>, Int>()
    private var lastStepAt: Long? = null
    private var lastMissAt: Long? = null

    /** Mean share of the backfill tasks in percent, by the last decision. */
    public var meanSharePercent: Int = FULL
        private set

    /** Least headroom of a serving task by the last inputs; null without serving tasks. */
    public var minHeadroom: Double? = null
        private set

    /** A share that a task is to get. */
    public data class Share(val task: TaskRef, val attempt: Int, val percent: Int)

    /** What a decision rests on: what a worker runs, and what is known of the tasks. */
    public class Inputs(
        public val running: List<RunningAttempt>,
        public val profiles: Map<TaskRef, TaskProfile>,
        /** Processors of the worker in thousandths of a core. */
        public val cpuMillis: Long,
        /** Weight of a backfill image for a serving image, see [Interference]. */
        public val weight: (serving: String, backfill: String) -> Double,
    )

    /** Returns the shares to change, granted the [inputs] at [now] (milliseconds of a steady clock). */
    public fun decide(inputs: Inputs, now: Long): List<Share> {
        val backfill = inputs.running.filter { inputs.profiles[it.task]?.backfill ?: false }
        val serving = inputs.running.filter { it.percent == FULL && it.load > 0 }.mapNotNull { row ->
            inputs.profiles[row.task]?.takeIf { it.latencyTargetMillis != null }?.let { row to it }
        }
        shares.keys.retainAll(backfill.mapTo(HashSet()) { it.task to it.attempt })
        missedSamples.keys.retainAll(serving.mapTo(HashSet()) { it.first.task })
        val isStep = lastStepAt?.let { now - it >= SAMPLE_MILLIS } ?: true
        if (isStep) {
            lastStepAt = now
            minHeadroom = serving.minOfOrNull { (row, t) -> headroomOf(row, t) }
            if (minHeadroom?.let { it < 1 } == true) lastMissAt = now
            for ((row, t) in serving) {
                missedSamples[row.task] = if (headroomOf(row, t) < 1) (missedSamples[row.task] ?: 0) + 1 else 0
            }
        }
        val target = targetShares(backfill, serving, inputs)
        meanSharePercent = if (target.isEmpty()) FULL else target.values.sum() / target.size
        val isCautious = lastMissAt?.let { now - it < CAUTIOUS_MILLIS } ?: false
        val maxIncrease = if (isCautious) CAUTIOUS_MAX_INCREASE else MAX_INCREASE
        return target.mapNotNull { (row, share) -> change(row, share, maxIncrease, isStep) }
    }

    /** Notes that the worker took [share]. */
    public fun recordApplied(share: Share) {
        shares[share.task to share.attempt] = share.percent
    }

    /** The share that a task has, in percent. */
    public fun shareOf(task: TaskRef, attempt: Int): Int = shares[task to attempt] ?: FULL

    private fun headroomOf(row: RunningAttempt, t: TaskProfile): Double =
        (t.latencyTargetMillis ?: 0).toDouble() / row.load

    /** Headroom that serving task [t] loses to backfill task [row] while that uses [cpu] thousandths of a core. */
    private fun costOf(row: RunningAttempt, t: TaskProfile, inputs: Inputs, cpu: Long): Double {
        val own = inputs.profiles[row.task]?.image ?: Interference.NO_IMAGE
        return inputs.weight(t.image ?: Interference.NO_IMAGE, own) * cpu / inputs.cpuMillis.coerceAtLeast(1)
    }

    private fun targetShares(
        backfill: List<RunningAttempt>,
        serving: List<Pair<RunningAttempt, TaskProfile>>,
        inputs: Inputs,
    ): Map<RunningAttempt, Int> {
        val remaining = serving.map { (row, t) ->
            headroomOf(row, t) + backfill.sumOf { costOf(it, t, inputs, it.load) } - Interference.TARGET_HEADROOM
        }.toDoubleArray()
        val costs = backfill.associateWith { b ->
            DoubleArray(serving.size) { costOf(b, serving[it].second, inputs, fullShareCpu(b, inputs)) }
        }
        val byCost = backfill.sortedWith(
            compareBy<RunningAttempt> { b -> relativeCost(costs.getValue(b), remaining, fullShareCpu(b, inputs)) }
                .thenByDescending { it.percent },
        )
        return byCost.associateWith { b ->
            val cost = costs.getValue(b)
            val share = cost.indices.filter { cost[it] > 0 }.minOfOrNull { remaining[it] / cost[it] }
            val percent = ((share ?: 1.0).coerceIn(0.0, 1.0) * FULL).toInt()
                .coerceAtMost(maxShare(b, serving, inputs))
            val granted = if (percent < MIN_SHARE) 0 else percent
            cost.indices.forEach { remaining[it] -= cost[it] * granted / FULL }
            granted
        }
    }

    /** Bound of a share, whatever the weights say: half of the present one while a target stays missed. */
    private fun maxShare(
        b: RunningAttempt,
        serving: List<Pair<RunningAttempt, TaskProfile>>,
        inputs: Inputs,
    ): Int {
        val isLikelyCause = serving.any { (row, t) ->
            val most = inputs.running.maxOf { costOf(it, t, inputs, it.load) }
            (missedSamples[row.task] ?: 0) >= MAX_MISSED_SAMPLES &&
                costOf(b, t, inputs, b.load) >= most * MIN_COST_FRACTION
        }
        return if (isLikelyCause) shareOf(b.task, b.attempt) / 2 else FULL
    }

    /** Part of the headroom of the serving task that bears least that each processor of a backfill task costs. */
    private fun relativeCost(cost: DoubleArray, remaining: DoubleArray, cpu: Long): Double =
        (cost.indices.maxOfOrNull { cost[it] / remaining[it].coerceAtLeast(MIN_HEADROOM) } ?: 0.0) /
            cpu.coerceAtLeast(1)

    /** Processors that a task uses with its full share, by its last figure or what it declared. */
    private fun fullShareCpu(row: RunningAttempt, inputs: Inputs): Long {
        val declared = inputs.profiles[row.task]?.cpuMillis ?: 0
        val share = shareOf(row.task, row.attempt)
        return if (share < FULL) declared else maxOf(declared, row.load)
    }

    /** New tasks get their share at once, others at each figure; a share grows in steps. */
    private fun change(row: RunningAttempt, target: Int, maxIncrease: Int, isStep: Boolean): Share? {
        val present = shares[row.task to row.attempt]
        val next = if (present == null) target else target.coerceAtMost(present + maxIncrease)
        val isDue = present == null || isStep
        val change = next - (present ?: FULL)
        val isSignificant = change < 0 || change >= MIN_INCREASE || change > 0 && next == FULL
        return if (isDue && isSignificant) Share(row.task, row.attempt, next) else null
    }

    private companion object {
        const val FULL = 100

        /** The period of the worker's inputs, in milliseconds. */
        const val SAMPLE_MILLIS = 450L

        /** A smaller share, in percent, is worth no disturbance. */
        const val MIN_SHARE = 20

        /** Percent that a share grows in one step, so that an image that is not known well is tried in steps. */
        const val MAX_INCREASE = 50

        /** The same after a serving task was over its target, and for how long, in milliseconds. */
        const val CAUTIOUS_MAX_INCREASE = 10
        const val CAUTIOUS_MILLIS = 3_000L

        /** Less maxIncrease of a share, in percent, is not worth a call. */
        const val MIN_INCREASE = 5

        /** Inputs over the target in a row from which on the weights are not relied on. */
        const val MAX_MISSED_SAMPLES = 2

        /** A task that costs less than this part of what the worst one costs is not blamed for a missed target. */
        const val MIN_COST_FRACTION = 0.25

        /** Keeps quotients finite; less headroom than this cannot be told from none. */
        const val MIN_HEADROOM = 0.01
    }
}
