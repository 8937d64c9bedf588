package org.camphorhall.bench

import org.camphorhall.core.model.RequestOutcome
import kotlin.time.Duration
import kotlin.time.DurationUnit

/** Latency percentiles and outcome shares of a set of requests. */
internal class LatencySummary(results: List<RequestResult>) {
    private val completed = results.filter { it.outcome == RequestOutcome.Completed }

    val offered: Int = results.size
    val refusedShare: Double = results.count { it.outcome is RequestOutcome.NotRun }.toDouble() / results.size

    /** Requests with an unknown outcome: they may have run. */
    val unknown: Int = results.count { it.outcome is RequestOutcome.Unknown }
    val totalP99Millis: Double = percentile(completed.map { it.total })
    val waitP99Millis: Double = percentile(completed.map { it.queued })

    private fun percentile(values: List<Duration>): Double {
        if (values.isEmpty()) return Double.NaN
        val sorted = values.sorted()
        return sorted[(sorted.size * 99 / 100).coerceAtMost(sorted.size - 1)].toDouble(DurationUnit.MILLISECONDS)
    }
}
