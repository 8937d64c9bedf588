package org.camphorhall.core.policy

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import org.camphorhall.core.model.MonotonicInstant
import kotlin.math.pow
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Concurrent requests of one class, waiting and running, as its arrivals saw them. */
public data class DemandEstimate(
    /** Most requests seen at [peakTime]. */
    private val peak: Double = 0.0,
    private val peakTime: MonotonicInstant = MonotonicInstant(0),
    /** Largest rise within [RISE_WINDOW], seen at [riseTime]. */
    private val rise: Double = 0.0,
    private val riseTime: MonotonicInstant = MonotonicInstant(0),
    private val minima: PersistentList<IntervalMinimum> = persistentListOf(),
    /** Mean of the requests seen, at [meanTime]. */
    private val mean: Double = 0.0,
    private val meanTime: MonotonicInstant = MonotonicInstant(0),
) {
    /** Fewest requests seen within the part of the window that starts at [from]. */
    public data class IntervalMinimum(val from: MonotonicInstant, val requests: Int)

    /** Notes the arrival of a request at [now], when [before] others of its class waited or ran. */
    public fun recordArrival(before: Int, now: MonotonicInstant): DemandEstimate {
        val kept = minima.removeAll { now - it.from > RISE_WINDOW }
        val last = kept.lastOrNull()
        val next = when {
            last == null || now - last.from > INTERVAL -> kept.add(IntervalMinimum(now, before))
            before < last.requests -> kept.set(kept.size - 1, last.copy(requests = before))
            else -> kept
        }
        val top = before + 1.0
        val step = top - next.minOf { it.requests }
        val newPeak = top >= expectedPeak(now)
        val newRise = step >= expectedRise(now)
        return DemandEstimate(
            if (newPeak) top else peak,
            if (newPeak) now else peakTime,
            if (newRise) step else rise,
            if (newRise) now else riseTime,
            next,
            // Arrivals of a Poisson process see the time average.
            before + 0.5.pow((now - meanTime) / MEAN_HALF_LIFE) * (mean - before),
            now,
        )
    }

    /** Returns the most concurrent requests to expect at [now]. */
    public fun expectedPeak(now: MonotonicInstant): Double = decayed(peak, now - peakTime, PEAK_HALF_LIFE)

    /** Returns the largest rise of concurrent requests to expect within [RISE_WINDOW] at [now]. */
    public fun expectedRise(now: MonotonicInstant): Double = decayed(rise, now - riseTime, RISE_HALF_LIFE)

    /** Returns the mean of the concurrent requests of the last second or so. */
    public fun recentMean(now: MonotonicInstant): Double = decayed(mean, now - meanTime, MEAN_HALF_LIFE)

    private fun decayed(value: Double, age: Duration, halfLife: Duration) = value * 0.5.pow(age / halfLife)

    public companion object {
        /** Time that the eviction of a task takes: a checkpoint, a stop and their polls. */
        public val RISE_WINDOW: Duration = 2.seconds
        private val INTERVAL = 250.milliseconds

        private val MEAN_HALF_LIFE = 1.seconds

        /** With 5 s, long requests took the slots that a wave needed when it came back 8 s later. */
        private val PEAK_HALF_LIFE = 15.seconds

        /** A swing is remembered for longer, because an eviction costs a batch task more than unused room. */
        private val RISE_HALF_LIFE = 20.seconds
    }
}
