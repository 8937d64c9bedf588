package org.camphorhall.scheduler.entry

import org.camphorhall.process.Metrics

/** Metrics of callers' requests, by class of work. */
internal class IntakeMetrics(metrics: Metrics) {
    // Lazy, so that the start does not load the metrics library.
    private val responses by lazy {
        metrics.counter("camphorhall_intake_answers", "Answers to callers", "class", "call", "answer")
    }
    private val latency by lazy {
        metrics.histogram("camphorhall_intake_seconds", "Time to answer callers", "class", "call")
    }

    fun recordResponse(classId: String, call: String, response: String, millis: Long) {
        responses.labelValues(classId, call, response).inc()
        latency.labelValues(classId, call).observe(millis / MILLIS_PER_SECOND)
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0
    }
}
