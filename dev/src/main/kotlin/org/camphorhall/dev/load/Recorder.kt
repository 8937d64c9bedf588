package org.camphorhall.dev.load

import org.HdrHistogram.Histogram
import java.util.TreeMap

/** Collects outcomes and latencies per class. Safe for concurrent use. */
internal class Recorder {
    private val classes = TreeMap<String, ClassMeasurements>()
    private var maxLagNanos = 0L

    private class ClassMeasurements {
        var sent = 0L
        val outcomes = TreeMap<String, Long>()

        // Latencies from 1 us to one hour with three significant digits.
        val micros = Histogram(1, 3_600_000_000, 3)
    }

    @Synchronized
    fun recordSend(className: String, lagNanos: Long) {
        classes.getOrPut(className, ::ClassMeasurements).sent++
        maxLagNanos = maxOf(maxLagNanos, lagNanos)
    }

    @Synchronized
    fun recordEnd(className: String, outcome: String, latencyNanos: Long) {
        val record = classes.getOrPut(className, ::ClassMeasurements)
        record.outcomes.merge(outcome, 1, Long::plus)
        if (outcome == COMPLETED) {
            record.micros.recordValue((latencyNanos / NANOS_PER_MICRO).coerceIn(1, record.micros.highestTrackableValue))
        }
    }

    @Synchronized
    fun result(seed: Long, durationMillis: Long): LoadResult = LoadResult(
        seed,
        durationMillis,
        classes.values.sumOf { it.sent },
        maxLagNanos / NANOS_PER_MILLI,
        classes.mapValues { (_, r) -> LoadResult.ClassResult(r.sent, TreeMap(r.outcomes), latency(r.micros)) },
    )

    private fun latency(h: Histogram): LoadResult.Latency? {
        if (h.totalCount == 0L) return null
        fun at(percentile: Double) = h.getValueAtPercentile(percentile) / MICROS_PER_MILLI
        return LoadResult.Latency(at(50.0), at(90.0), at(99.0), at(99.9), h.maxValue / MICROS_PER_MILLI)
    }

    companion object {
        const val COMPLETED = "completed"
        private const val NANOS_PER_MICRO = 1_000L
        private const val NANOS_PER_MILLI = 1_000_000.0
        private const val MICROS_PER_MILLI = 1_000.0
    }
}
