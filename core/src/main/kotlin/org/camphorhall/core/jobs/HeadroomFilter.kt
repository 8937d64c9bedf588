package org.camphorhall.core.jobs

/**
 * Kalman filter that estimates how strongly backfill tasks of each image interfere with the serving tasks of one image.
 *
 * Latency is inversely proportional to the remaining capacity, so that the headroom of a serving task is linear in the
 * utilization: `headroom = level - sum of weight(image) * utilization(image)`. The state consists of one level and one
 * trend per step and one weight per backfill image. Tasks of one step share their load and therefore the level, which
 * fluctuates with the load. The filter separates levels from weights by the samples of one task over time and by the
 * samples of its siblings on other workers.
 */
internal class HeadroomFilter {
    private sealed interface StateVariable {
        data class Level(val step: StepRef) : StateVariable

        /** Rate of change of a level per second. */
        data class Trend(val step: StepRef) : StateVariable

        data class Weight(val image: String) : StateVariable
    }

    private val variables = mutableListOf<StateVariable>()

    /** Index of each of [variables] in [state] and [covariance]. */
    private val indices = HashMap<StateVariable, Int>()
    private var state = DoubleArray(0)
    private var covariance = emptyArray<DoubleArray>()
    private var predictedAt = Long.MIN_VALUE

    /** Number of state variables. */
    val size: Int get() = variables.size

    /** Estimated headroom of the tasks of [step] without backfill tasks beside them; null before the first sample. */
    fun level(step: StepRef): Double? = estimateOf(StateVariable.Level(step))

    /** Estimated headroom lost per whole worker used by tasks of [image]; null before the first sample. */
    fun weight(image: String): Double? = estimateOf(StateVariable.Weight(image))

    /**
     * Processes one sample: the [headroom] of a task of [step] at [now], and the [utilization] of its worker by
     * backfill tasks, as a fraction per image.
     */
    fun observe(step: StepRef, headroom: Double, utilization: Map<String, Double>, now: Long) {
        predict(now)
        val level = indexOf(StateVariable.Level(step), INITIAL_LEVEL, INITIAL_LEVEL_VARIANCE)
        indexOf(StateVariable.Trend(step), 0.0, INITIAL_TREND_VARIANCE)
        val observation = DoubleArray(variables.size + utilization.size)
        observation[level] = 1.0
        for ((image, fraction) in utilization) {
            val i = indexOf(StateVariable.Weight(image), Interference.DEFAULT_WEIGHT, INITIAL_WEIGHT_VARIANCE)
            observation[i] = -fraction
        }
        update(observation, headroom)
        removeOldestImages()
    }

    /** Removes the levels and trends of steps other than [retained]. */
    fun retainSteps(retained: Set<StepRef>) {
        val removed = variables.indices.filter { i ->
            when (val variable = variables[i]) {
                is StateVariable.Level -> variable.step !in retained
                is StateVariable.Trend -> variable.step !in retained
                is StateVariable.Weight -> false
            }
        }
        removed.asReversed().forEach(::remove)
    }

    private fun estimateOf(variable: StateVariable): Double? = indices[variable]?.let { state[it] }

    /** Predict step of the filter: advances levels by their trends and adds the process noise to the covariance. */
    private fun predict(now: Long) {
        val seconds =
            if (predictedAt == Long.MIN_VALUE) 0.0 else (now - predictedAt).coerceAtLeast(0) / MILLIS_PER_SECOND
        predictedAt = maxOf(predictedAt, now)
        // The samples of one report have the same time.
        if (seconds == 0.0) return
        for ((i, variable) in variables.withIndex()) {
            if (variable !is StateVariable.Level) continue
            val trend = indices.getValue(StateVariable.Trend(variable.step))
            state[i] += seconds * state[trend]
            for (j in variables.indices) covariance[i][j] += seconds * covariance[trend][j]
            for (j in variables.indices) covariance[j][i] += seconds * covariance[j][trend]
        }
        variables.forEachIndexed { i, variable ->
            covariance[i][i] += seconds * when (variable) {
                is StateVariable.Level -> LEVEL_PROCESS_NOISE
                is StateVariable.Trend -> TREND_PROCESS_NOISE
                is StateVariable.Weight -> WEIGHT_PROCESS_NOISE
            }
        }
    }

    /** Update step of the filter: [observation] is the row vector that maps the state to the expected headroom. */
    private fun update(observation: DoubleArray, headroom: Double) {
        val n = variables.size
        val crossCovariance = DoubleArray(n) { i -> (0 until n).sumOf { j -> covariance[i][j] * observation[j] } }
        val expected = (0 until n).sumOf { observation[it] * state[it] }
        val measurementNoise = RELATIVE_MEASUREMENT_NOISE * maxOf(headroom, expected, 1.0)
        val innovationVariance = (0 until n).sumOf { observation[it] * crossCovariance[it] } +
            measurementNoise * measurementNoise + ROUNDING_VARIANCE
        for (i in 0 until n) {
            state[i] += crossCovariance[i] / innovationVariance * (headroom - expected)
            if (variables[i] is StateVariable.Weight) state[i] = state[i].coerceAtLeast(MIN_WEIGHT)
            for (j in 0 until n) covariance[i][j] -= crossCovariance[i] * crossCovariance[j] / innovationVariance
        }
    }

    /** Returns the index of [variable], which is added with the given initial estimate and variance if it is new. */
    private fun indexOf(variable: StateVariable, initial: Double, variance: Double): Int {
        indices[variable]?.let { return it }
        variables += variable
        indices[variable] = variables.lastIndex
        state += initial
        covariance = Array(variables.size) { i ->
            DoubleArray(variables.size) { j -> covariance.getOrNull(i)?.getOrNull(j) ?: 0.0 }
        }
        covariance[variables.lastIndex][variables.lastIndex] = variance
        return variables.lastIndex
    }

    private fun removeOldestImages() {
        while (variables.count { it is StateVariable.Weight } > MAX_IMAGES) {
            remove(variables.indexOfFirst { it is StateVariable.Weight })
        }
    }

    private fun remove(index: Int) {
        variables.removeAt(index)
        indices.clear()
        variables.forEachIndexed { i, variable -> indices[variable] = i }
        state = state.filterIndexed { i, _ -> i != index }.toDoubleArray()
        covariance = covariance.filterIndexed { i, _ -> i != index }
            .map { row -> row.filterIndexed { j, _ -> j != index }.toDoubleArray() }.toTypedArray()
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0

        /** Initial estimate and variance of the level of a step without samples. */
        const val INITIAL_LEVEL = 2.5
        const val INITIAL_LEVEL_VARIANCE = 2.0

        /** Covers images without any interference as well as twice [Interference.DEFAULT_WEIGHT]. */
        const val INITIAL_WEIGHT_VARIANCE = 36.0

        /** Backfill tasks never increase the headroom, and many weak ones together can use it up. */
        const val MIN_WEIGHT = 0.0

        /** A load that doubles within ten seconds changes the headroom by a quarter (0.25) per second. */
        const val INITIAL_TREND_VARIANCE = 0.06

        /** Process noise, as variance per second: load trends change in seconds, weights hold for about a minute. */
        const val LEVEL_PROCESS_NOISE = 0.03
        const val TREND_PROCESS_NOISE = 0.06
        const val WEIGHT_PROCESS_NOISE = 0.1

        /** Relative standard deviation of reported latencies. */
        const val RELATIVE_MEASUREMENT_NOISE = 0.09

        /**
         * Variance of the headroom because latencies are rounded to whole milliseconds; latency targets are at least
         * 10 ms.
         */
        const val ROUNDING_VARIANCE = 0.02

        /** Bounds the cost of one sample; the images that were added first are removed first. */
        const val MAX_IMAGES = 48
    }
}
