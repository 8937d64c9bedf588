package org.camphorhall.core.jobs

import kotlinx.serialization.Serializable

/**
 * Interference of the backfill tasks of one image with the serving tasks of another image on the same worker. [weight]
 * is the headroom that the serving task loses per whole worker used by the backfill task. Headroom is the latency
 * target divided by the tail latency; it is 1 if the latency equals the target.
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
        /** Replaces the image of a task that has none. */
        public const val NO_IMAGE: String = ""

        /** Weight of images that never ran together, between weak (1) and strong (10) interference. */
        public const val DEFAULT_WEIGHT: Double = 8.0

        /**
         * Headroom to leave to serving tasks when shares are set. Reported latencies deviate by up to 10 %; a margin of
         * twice that keeps the latency below its target.
         */
        public const val TARGET_HEADROOM: Double = 1.25
    }
}
