package org.camphorhall.bench

import org.camphorhall.core.model.RequestOutcome
import kotlin.time.Duration
import kotlin.time.DurationUnit

/** Figures of the requests of one class. */
internal class LatencySummary(results: List<RequestResult>) {
    private val completed = results.filter { it.outcome == RequestOutcome.Completed }

    val offered: Int = results.size
    val refusedShare: Double = results.count { it.outcome is RequestOutcome.NotRun }.toDouble() / results.size

    /** Requests that ended neither with an answer nor with a refusal. */
    val unknown: Int = results.count { it.outcome is RequestOutcome.Unknown }
    val totalP99Millis: Double = percentile(completed.map { it.total })
    val waitP99Millis: Double = percentile(completed.map { it.queued })

    private fun percentile(values: List<Duration>): Double {
        if (values.isEmpty()) return Double.NaN
        val sorted = values.sorted()
        return sorted[(sorted.size * 99 / 100).coerceAtMost(sorted.size - 1)].toDouble(DurationUnit.MILLISECONDS)
    }
}
