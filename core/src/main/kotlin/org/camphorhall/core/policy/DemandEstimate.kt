package org.camphorhall.core.policy

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import org.camphorhall.core.model.MonotonicInstant
import kotlin.math.pow
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Estimate of the concurrent requests of one class, queued and running, sampled at its arrivals. */
public data class DemandEstimate(
    /** Maximum of concurrent requests, sampled at [peakTime]. */
    private val peak: Double = 0.0,
    private val peakTime: MonotonicInstant = MonotonicInstant(0),
    /** Largest rise within [RISE_WINDOW], sampled at [riseTime]. */
    private val rise: Double = 0.0,
    private val riseTime: MonotonicInstant = MonotonicInstant(0),
    private val minima: PersistentList<IntervalMinimum> = persistentListOf(),
    /** Exponentially weighted mean, last updated at [meanTime]. */
    private val mean: Double = 0.0,
    private val meanTime: MonotonicInstant = MonotonicInstant(0),
) {
    /** Fewest concurrent requests sampled in the interval of the window that starts at [from]. */
    public data class IntervalMinimum(val from: MonotonicInstant, val requests: Int)

    /** Records an arrival at [now], when [before] other requests of its class were queued or running. */
    public fun recordArrival(before: Int, now: MonotonicInstant): DemandEstimate {
        val inWindow = minima.removeAll { now - it.from > RISE_WINDOW }
        val last = inWindow.lastOrNull()
        val updatedMinima = when {
            last == null || now - last.from > INTERVAL -> inWindow.add(IntervalMinimum(now, before))
            before < last.requests -> inWindow.set(inWindow.size - 1, last.copy(requests = before))
            else -> inWindow
        }
        val concurrent = before + 1.0
        val currentRise = concurrent - updatedMinima.minOf { it.requests }
        val newPeak = concurrent >= expectedPeak(now)
        val newRise = currentRise >= expectedRise(now)
        return DemandEstimate(
            if (newPeak) concurrent else peak,
            if (newPeak) now else peakTime,
            if (newRise) currentRise else rise,
            if (newRise) now else riseTime,
            updatedMinima,
            // Poisson arrivals sample the time average (PASTA).
            before + 0.5.pow((now - meanTime) / MEAN_HALF_LIFE) * (mean - before),
            now,
        )
    }

    /** Returns the most concurrent requests to expect at [now]. */
    public fun expectedPeak(now: MonotonicInstant): Double = decayed(peak, now - peakTime, PEAK_HALF_LIFE)

    /** Returns the largest rise of concurrent requests to expect within [RISE_WINDOW] at [now]. */
    public fun expectedRise(now: MonotonicInstant): Double = decayed(rise, now - riseTime, RISE_HALF_LIFE)

    /** Returns the mean of the concurrent requests, weighted with a half-life of 1 s. */
    public fun recentMean(now: MonotonicInstant): Double = decayed(mean, now - meanTime, MEAN_HALF_LIFE)

    private fun decayed(value: Double, age: Duration, halfLife: Duration) = value * 0.5.pow(age / halfLife)

    public companion object {
        /** Duration of a task eviction: a checkpoint, a stop and the polls for both. */
        public val RISE_WINDOW: Duration = 2.seconds
        private val INTERVAL = 250.milliseconds

        private val MEAN_HALF_LIFE = 1.seconds

        /** With 5 s, long requests took the slots that a load wave needed when it recurred after 8 s. */
        private val PEAK_HALF_LIFE = 15.seconds

        /** Longer than the half-life of the peak, because an eviction costs a batch task more than unused capacity. */
        private val RISE_HALF_LIFE = 20.seconds
    }
}
