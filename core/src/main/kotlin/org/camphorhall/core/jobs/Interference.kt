package org.camphorhall.core.jobs

import kotlinx.serialization.Serializable

/**
 * How much a backfill task of one image slows down a serving task of another one on the same worker: the headroom that
 * the serving task loses for each whole worker that the backfill task uses. The headroom is the latency target divided
 * by the tail latency; 1 is at the target.
 */
@Serializable
public data class Interference(
    /** Image of the serving task. */
    val serving: String,
    /** Image of the backfill task. */
    val backfill: String,
    val weight: Double,
) {
    public companion object {
        /** Stands for the image of tasks without one. */
        public const val NO_IMAGE: String = ""

        /** Assumed of images that never ran together: between those that hardly disturb (1) and strong ones (10). */
        public const val DEFAULT_WEIGHT: Double = 8.0

        /**
         * Headroom that is left to serving tasks when backfill tasks get their shares. Reported figures deviate by up
         * to a tenth; twice that keeps the latency under its target.
         */
        public const val TARGET_HEADROOM: Double = 1.25
    }
}
