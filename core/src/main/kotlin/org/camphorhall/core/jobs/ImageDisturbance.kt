package org.camphorhall.core.jobs

/**
 * Learns how much backfill tasks of an image slow down the serving tasks beside them.
 *
 * Load pattern: serving tasks whose load swings within seconds, beside backfill tasks of several images, of which some
 * disturb several times more than others. The load of serving tasks changes their latency more slowly than a start, an
 * end or a throttle of a backfill task does. The weights of the images are therefore fitted, by normalized least mean
 * squares, to the differences between consecutive figures of a worker.
 */
internal class ImageDisturbance {
    /** Latency as a part of its target that an image adds per whole worker in use. */
    private val weights = HashMap<String, Double>()

    /** Takes two consecutive figures of one worker with the same serving tasks. */
    fun learn(before: SharedFigure, after: SharedFigure) {
        val changes = (before.use.keys + after.use.keys)
            .associateWith { (after.use[it] ?: 0.0) - (before.use[it] ?: 0.0) }
            .filterValues { it != 0.0 }
        val power = changes.values.sumOf { it * it }
        if (power < LEAST_POWER) return
        val expected = changes.entries.sumOf { (image, change) -> weight(image) * change }
        val error = after.pressure - before.pressure - expected
        for ((image, change) in changes) {
            weights[image] = (weight(image) + RATE * error * change / power).coerceIn(0.0, GREATEST)
        }
    }

    /** Latency, as a part of its target, that tasks using [use] parts of a worker, by image, add to serving tasks. */
    fun of(use: Map<String, Double>): Double = use.entries.sumOf { (image, part) -> weight(image) * part }

    private fun weight(image: String): Double = weights[image] ?: UNKNOWN

    companion object {
        /** Key of tasks without an image. */
        const val NO_IMAGE = ""

        /** Latency, as a part of its target, that backfill tasks may add by what is known of their images. */
        const val TOLERATED = 0.25

        /** Weight of an image of which nothing is known: one usual task of it, a tenth of a worker, is tolerated. */
        private const val UNKNOWN = 2.0

        /** Bound of a weight; figures of an overloaded worker say no more than that the image disturbs. */
        private const val GREATEST = 20.0

        /** Part of the error that one figure corrects. */
        private const val RATE = 0.3

        /** Square of the least change from which a figure says anything: 3 % of a worker. */
        private const val LEAST_POWER = 0.001
    }
}
