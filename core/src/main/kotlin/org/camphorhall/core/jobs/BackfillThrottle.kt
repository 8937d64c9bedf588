package org.camphorhall.core.jobs

/**
 * Sets the CPU shares of the backfill tasks on one worker so that the serving tasks beside them keep their latency
 * targets.
 *
 * Load pattern: the load of serving tasks fluctuates within seconds, measurements lag by half a second, and the
 * interference of images differs by a factor of ten. The headroom that serving tasks would have without backfill tasks
 * is computed from each sample and distributed to backfill tasks by ascending cost, so that the tasks that interfere
 * most are throttled first.
 */
public class BackfillThrottle {
    /** Number of consecutive samples in which each serving task missed its latency target. */
    private val missedSamples = HashMap<TaskRef, Int>()

    /** Shares that the worker has applied, by task and attempt. */
    private val shares = HashMap<Pair<TaskRef, Int>, Int>()

    /** Attempts that this process has started, which run at 100 % until a share is applied. */
    private val started = HashSet<Pair<TaskRef, Int>>()

    /** Calls without a response; the worker may still carry them out, after newer calls. */
    private val lostCalls = HashMap<Pair<TaskRef, Int>, LostCall>()
    private var lastSampleAt: Long? = null
    private var lastMissAt: Long? = null

    /** Mean share of the backfill tasks after the last decision, in percent. */
    public var meanSharePercent: Int = FULL
        private set

    /** Smallest headroom of a serving task in the last sample; null without serving tasks. */
    public var minHeadroom: Double? = null
        private set

    /** A call without a response, which may be carried out until [until]. The last one was made at [repeatedAt]. */
    private class LostCall(val until: Long, var repeatedAt: Long) {
        /** Whether the worker has applied a share since. */
        var isReplaced = false
    }

    /** The CPU share to set for an attempt, in percent; 100 is unthrottled. */
    public data class Share(val task: TaskRef, val attempt: Int, val percent: Int)

    /** Inputs of a decision: the attempts that a worker runs, and the profiles of their tasks. */
    public class Inputs(
        public val running: List<RunningAttempt>,
        public val profiles: Map<TaskRef, TaskProfile>,
        /** CPU capacity of the worker in thousandths of a core. */
        public val cpuMillis: Long,
        /** Interference weight of a pair of images, see [Interference.weight]. */
        public val weight: (serving: String, backfill: String) -> Double,
    )

    /** Returns the shares to change for the [inputs] at [now], in milliseconds of a steady clock. */
    public fun decide(inputs: Inputs, now: Long): List<Share> {
        val backfill = inputs.running.filter { inputs.profiles[it.task]?.backfill ?: false }
        val serving = inputs.running.filter { it.percent == FULL && it.load > 0 }.mapNotNull { row ->
            inputs.profiles[row.task]?.takeIf { it.latencyTargetMillis != null }?.let { row to it }
        }
        val tracked = backfill.mapTo(HashSet()) { it.task to it.attempt }
        shares.keys.retainAll(tracked)
        started.retainAll(tracked)
        lostCalls.keys.retainAll(tracked)
        lostCalls.values.removeIf { it.isReplaced && now >= it.until }
        missedSamples.keys.retainAll(serving.mapTo(HashSet()) { it.first.task })
        val isNewSample = lastSampleAt?.let { now - it >= SAMPLE_MILLIS } ?: true
        if (isNewSample) {
            lastSampleAt = now
            minHeadroom = serving.minOfOrNull { (row, t) -> headroomOf(row, t) }
            if (minHeadroom?.let { it < 1 } == true) lastMissAt = now
            for ((row, t) in serving) {
                missedSamples[row.task] = if (headroomOf(row, t) < 1) (missedSamples[row.task] ?: 0) + 1 else 0
            }
        }
        val targets = targetShares(backfill, serving, inputs)
        meanSharePercent = if (targets.isEmpty()) FULL else targets.values.sum() / targets.size
        val isCautious = lastMissAt?.let { now - it < CAUTIOUS_MILLIS } ?: false
        val maxIncrease = if (isCautious) CAUTIOUS_MAX_INCREASE else MAX_INCREASE
        return targets.mapNotNull { (row, share) -> change(row, share, maxIncrease, isNewSample, now) }
            .onEach { lostCalls[it.task to it.attempt]?.repeatedAt = now }
    }

    /** Records that this process has started an attempt. The share of any other attempt is unknown until applied. */
    public fun recordStarted(task: TaskRef, attempt: Int) {
        started += task to attempt
    }

    /** Records that the worker has applied [share]. */
    public fun recordApplied(share: Share) {
        shares[share.task to share.attempt] = share.percent
        lostCalls[share.task to share.attempt]?.isReplaced = true
    }

    /**
     * Records at [now] that the call to set [share] got no response. The share is set again until a call succeeds, and
     * then every [REPEAT_MILLIS] for as long as the lost call may be carried out late and undo it.
     */
    public fun recordLost(share: Share, now: Long) {
        val key = share.task to share.attempt
        // The lower share bounds the next increase.
        shares.merge(key, share.percent, ::minOf)
        lostCalls[key] = LostCall(now + LATE_CALL_MILLIS, now)
    }

    /**
     * The applied share of an attempt in percent; null while unknown, because another process has started the attempt
     * or the last call got no response.
     */
    public fun shareOf(task: TaskRef, attempt: Int): Int? {
        val key = task to attempt
        return if (lostCalls[key]?.isReplaced == false) null else shares[key] ?: FULL.takeIf { key in started }
    }

    private fun headroomOf(row: RunningAttempt, t: TaskProfile): Double =
        (t.latencyTargetMillis ?: 0).toDouble() / row.load

    /** Headroom that serving task [t] loses if backfill task [row] uses [cpu] thousandths of a core. */
    private fun costOf(row: RunningAttempt, t: TaskProfile, inputs: Inputs, cpu: Long): Double {
        val backfillImage = inputs.profiles[row.task]?.image ?: Interference.NO_IMAGE
        return inputs.weight(t.image ?: Interference.NO_IMAGE, backfillImage) * cpu / inputs.cpuMillis.coerceAtLeast(1)
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

    /**
     * Upper bound of a share, independent of the learned weights: half of the current share if the task is a likely
     * cause of repeated misses of a latency target.
     */
    private fun maxShare(
        b: RunningAttempt,
        serving: List<Pair<RunningAttempt, TaskProfile>>,
        inputs: Inputs,
    ): Int {
        val isLikelyCause = serving.any { (row, t) ->
            val maxCost = inputs.running.maxOf { costOf(it, t, inputs, it.load) }
            (missedSamples[row.task] ?: 0) >= MAX_MISSED_SAMPLES &&
                costOf(b, t, inputs, b.load) >= maxCost * MIN_COST_FRACTION
        }
        return if (isLikelyCause) (shares[b.task to b.attempt] ?: FULL) / 2 else FULL
    }

    /** Largest fraction of a serving task's remaining headroom that the backfill task costs per unit of its CPU. */
    private fun relativeCost(cost: DoubleArray, remaining: DoubleArray, cpu: Long): Double =
        (cost.indices.maxOfOrNull { cost[it] / remaining[it].coerceAtLeast(MIN_HEADROOM) } ?: 0.0) /
            cpu.coerceAtLeast(1)

    /** CPU that a task uses at its full share, from its last measurement or its declared demand. */
    private fun fullShareCpu(row: RunningAttempt, inputs: Inputs): Long {
        val declared = inputs.profiles[row.task]?.cpuMillis ?: 0
        val share = shares[row.task to row.attempt] ?: FULL
        return if (share < FULL) declared else maxOf(declared, row.load)
    }

    /** Sets the share of a new task at once and changes others once per sample; increases are limited per sample. */
    private fun change(
        row: RunningAttempt,
        target: Int,
        maxIncrease: Int,
        isNewSample: Boolean,
        now: Long,
    ): Share? {
        val key = row.task to row.attempt
        val applied = shares[key]
        val next = if (applied == null) target else target.coerceAtMost(applied + maxIncrease)
        val isDue = applied == null || isNewSample
        val isRepeatDue = lostCalls[key]?.let { now - it.repeatedAt >= REPEAT_MILLIS } ?: false
        val isUnknown = shareOf(row.task, row.attempt) == null || isRepeatDue
        val difference = next - (applied ?: FULL)
        val isSignificant =
            isUnknown || difference < 0 || difference >= MIN_INCREASE || difference > 0 && next == FULL
        return if (isDue && isSignificant) Share(row.task, row.attempt, next) else null
    }

    private companion object {
        const val FULL = 100

        /** Minimum time between two samples, in milliseconds; workers measure every 500 ms. */
        const val SAMPLE_MILLIS = 450L

        /** A smaller share, in percent, is not worth its interference and is set to 0. */
        const val MIN_SHARE = 20

        /** Largest increase of a share per sample, in percent; limits the effect of images with inaccurate weights. */
        const val MAX_INCREASE = 50

        /** Largest increase per sample after a missed target, in percent, and how long it applies, in milliseconds. */
        const val CAUTIOUS_MAX_INCREASE = 10
        const val CAUTIOUS_MILLIS = 3_000L

        /** A smaller increase, in percent, is not worth a call to the worker. */
        const val MIN_INCREASE = 5

        /** Longest time for which a call without a response is expected to be carried out, in milliseconds. */
        const val LATE_CALL_MILLIS = 15_000L

        /** Period in which a share is set again, in milliseconds; a late call undoes it for no longer. */
        const val REPEAT_MILLIS = 2_000L

        /** Number of consecutive missed samples after which the learned weights are no longer relied on. */
        const val MAX_MISSED_SAMPLES = 2

        /** A task below this fraction of the highest cost on its worker is not a likely cause of a missed target. */
        const val MIN_COST_FRACTION = 0.25

        /** Keeps quotients finite; a smaller headroom is indistinguishable from zero. */
        const val MIN_HEADROOM = 0.01
    }
}
