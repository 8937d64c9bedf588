package org.camphorhall.core.policy

import kotlin.math.abs

/** Exponentially weighted mean and deviation of the service times of one class, in microseconds. */
public data class ServiceTimeEstimate(
    val meanMicros: Double = 0.0,
    val deviationMicros: Double = 0.0,
    val samples: Long = 0,
) {
    /** Adds one measured service time. */
    public fun add(micros: Long): ServiceTimeEstimate {
        if (samples == 0L) return ServiceTimeEstimate(micros.toDouble(), micros / 2.0, 1)
        // A few requests run many times longer than the rest; unclipped, one of them doubled the mean for 20 requests.
        val diff = (micros - meanMicros).coerceAtMost(CLIP_FACTOR * maxOf(deviationMicros, meanMicros / CLIP_FACTOR))
        return ServiceTimeEstimate(
            meanMicros + GAIN * diff,
            deviationMicros + GAIN * (abs(diff) - deviationMicros),
            samples + 1,
        )
    }

    private companion object {
        /** Weight of a new sample. The estimate follows a change within about 20 requests. */
        const val GAIN = 0.1

        /** Limit on the distance of a sample above the mean, in deviations. */
        const val CLIP_FACTOR = 6.0
    }
}
