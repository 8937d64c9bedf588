package org.camphorhall.core.jobs

/**
 * Estimates how much backfill tasks of each image slow down the serving tasks of one image.
 *
 * Latency grows with the inverse of the capacity that is left, so that the headroom of a serving task falls linearly:
 * `headroom = level - sum of weight(image) x use(image)`. Tasks of one step share their load and therefore the level,
 * which rises and falls as the load swings. A Kalman filter over all levels, their trends and the weights tells them
 * apart: by figures of one task over time, and by figures of its siblings on other workers.
 */
internal class HeadroomFilter {
    private sealed interface Key {
        data class Level(val step: StepRef) : Key

        /** Change of a level in a second. */
        data class Trend(val step: StepRef) : Key

        data class Weight(val image: String) : Key
    }

    private val keys = mutableListOf<Key>()

    /** Indices of [keys]. */
    private val indices = HashMap<Key, Int>()
    private var means = DoubleArray(0)
    private var covariance = emptyArray<DoubleArray>()
    private var updatedAt = Long.MIN_VALUE

    /** Number of levels and weights that are estimated. */
    val size: Int get() = keys.size

    /** Expected headroom of the tasks of [step] without backfill tasks beside them; null before the first figure. */
    fun level(step: StepRef): Double? = meanOf(Key.Level(step))

    /** Headroom that a whole worker in use by tasks of [image] takes; null before the first figure. */
    fun weight(image: String): Double? = meanOf(Key.Weight(image))

    /** Takes a figure of a task of [step] beside backfill tasks that [use] parts of the worker, by image. */
    fun observe(step: StepRef, headroom: Double, use: Map<String, Double>, now: Long) {
        drift(now)
        val level = indexOf(Key.Level(step), FIRST_LEVEL, FIRST_LEVEL_VARIANCE)
        indexOf(Key.Trend(step), 0.0, FIRST_TREND_VARIANCE)
        val gains = DoubleArray(keys.size + use.size)
        gains[level] = 1.0
        for ((image, part) in use) {
            val i = indexOf(Key.Weight(image), Interference.DEFAULT_WEIGHT, FIRST_WEIGHT_VARIANCE)
            gains[i] = -part
        }
        correct(gains, headroom)
        forgetImages()
    }

    /** Forgets the levels of steps other than [wanted]. */
    fun retainSteps(wanted: Set<StepRef>) {
        val gone = keys.indices.filter { i ->
            when (val key = keys[i]) {
                is Key.Level -> key.step !in wanted
                is Key.Trend -> key.step !in wanted
                is Key.Weight -> false
            }
        }
        gone.asReversed().forEach(::remove)
    }

    private fun meanOf(key: Key): Double? = indices[key]?.let { means[it] }

    /** The time update of the filter: levels follow their trends, and everything becomes less certain. */
    private fun drift(now: Long) {
        val seconds = if (updatedAt == Long.MIN_VALUE) 0.0 else (now - updatedAt).coerceAtLeast(0) / MILLIS_PER_SECOND
        updatedAt = maxOf(updatedAt, now)
        // The figures of one report have the same time.
        if (seconds == 0.0) return
        for ((i, key) in keys.withIndex()) {
            if (key !is Key.Level) continue
            val trend = indices.getValue(Key.Trend(key.step))
            means[i] += seconds * means[trend]
            for (j in keys.indices) covariance[i][j] += seconds * covariance[trend][j]
            for (j in keys.indices) covariance[j][i] += seconds * covariance[j][trend]
        }
        keys.forEachIndexed { i, key ->
            covariance[i][i] += seconds * when (key) {
                is Key.Level -> LEVEL_DRIFT
                is Key.Trend -> TREND_DRIFT
                is Key.Weight -> WEIGHT_DRIFT
            }
        }
    }

    /** The measurement update of the filter: [gains] are the factors of the states in the expected headroom. */
    private fun correct(gains: DoubleArray, headroom: Double) {
        val n = keys.size
        val spread = DoubleArray(n) { i -> (0 until n).sumOf { j -> covariance[i][j] * gains[j] } }
        val expected = (0 until n).sumOf { gains[it] * means[it] }
        val error = NOISE * maxOf(headroom, expected, 1.0)
        val variance = (0 until n).sumOf { gains[it] * spread[it] } + error * error + ROUNDING_VARIANCE
        for (i in 0 until n) {
            means[i] += spread[i] / variance * (headroom - expected)
            if (keys[i] is Key.Weight) means[i] = means[i].coerceAtLeast(LEAST_WEIGHT)
            for (j in 0 until n) covariance[i][j] -= spread[i] * spread[j] / variance
        }
    }

    private fun indexOf(key: Key, mean: Double, variance: Double): Int {
        indices[key]?.let { return it }
        keys += key
        indices[key] = keys.lastIndex
        means += mean
        covariance = Array(keys.size) { i ->
            DoubleArray(keys.size) { j -> covariance.getOrNull(i)?.getOrNull(j) ?: 0.0 }
        }
        covariance[keys.lastIndex][keys.lastIndex] = variance
        return keys.lastIndex
    }

    private fun forgetImages() {
        while (keys.count { it is Key.Weight } > MAX_IMAGES) remove(keys.indexOfFirst { it is Key.Weight })
    }

    private fun remove(index: Int) {
        keys.removeAt(index)
        indices.clear()
        keys.forEachIndexed { i, key -> indices[key] = i }
        means = means.filterIndexed { i, _ -> i != index }.toDoubleArray()
        covariance = covariance.filterIndexed { i, _ -> i != index }
            .map { row -> row.filterIndexed { j, _ -> j != index }.toDoubleArray() }.toTypedArray()
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0

        /** Headroom of a serving task of which nothing is known, and its variance. */
        const val FIRST_LEVEL = 2.5
        const val FIRST_LEVEL_VARIANCE = 2.0

        /** Covers images that do not disturb at all and those that disturb twice as much as is assumed. */
        const val FIRST_WEIGHT_VARIANCE = 36.0

        /** Every backfill task disturbs a little; many of them together use up the headroom. */
        const val LEAST_WEIGHT = 0.0

        /** A load that doubles within ten seconds changes the headroom by a quarter in a second. */
        const val FIRST_TREND_VARIANCE = 0.06

        /** Variances gained in a second: swings of load turn within seconds, weights hold for about a minute. */
        const val LEVEL_DRIFT = 0.03
        const val TREND_DRIFT = 0.06
        const val WEIGHT_DRIFT = 0.1

        /** Relative deviation of reported latencies. */
        const val NOISE = 0.09

        /** Latencies are reported in whole milliseconds, of ten or more at the target. */
        const val ROUNDING_VARIANCE = 0.02

        /** Bounds the cost of one figure; the images known for longest are forgotten first. */
        const val MAX_IMAGES = 48
    }
}
