package org.camphorhall.entry

import org.camphorhall.entry.request.CallerResponse
import org.camphorhall.process.Metrics
import org.camphorhall.wire.reasonCode
import kotlin.time.Duration
import kotlin.time.DurationUnit

internal class EntryMetrics(metrics: Metrics) {
    private val latency =
        metrics.histogram("camphorhall_request_seconds", "Time from arrival to answer", "class", "tenant")
    private val queue = metrics.histogram("camphorhall_queue_seconds", "Wait at the agent", "class")
    private val run = metrics.histogram("camphorhall_run_seconds", "Run time at the backend server", "class")
    private val outcomes =
        metrics.counter("camphorhall_requests", "Requests by outcome and reason", "class", "outcome", "reason")
    private val retries = metrics.counter("camphorhall_retries", "Tries after the first")
    private val storeCalls = metrics.counter("camphorhall_store_calls", "Calls to the key-value service", "kind")
    private val starts = metrics.counter("camphorhall_task_starts", "Starts of tasks sent to agents")
    private val shards = metrics.gauge("camphorhall_shards", "Shards that this entry owns")

    fun recordResponse(className: String, tenant: String, response: CallerResponse, elapsed: Duration) {
        outcomes.labelValues(className, response.outcome.code, response.outcome.reasonCode).inc()
        latency.labelValues(className, tenant).observe(elapsed.toDouble(DurationUnit.SECONDS))
        // A rejected request has neither waited for a slot nor run.
        if (response.runMicros == 0L) return
        queue.labelValues(className).observe(response.queueMicros / MICROS_PER_SECOND)
        run.labelValues(className).observe(response.runMicros / MICROS_PER_SECOND)
    }

    fun recordRejection(className: String, reason: String): Unit =
        outcomes.labelValues(className, "not-run", reason).inc()

    fun recordRetry(): Unit = retries.inc()

    fun recordStoreCall(kind: String): Unit = storeCalls.labelValues(kind).inc()

    fun recordTaskStarts(count: Int): Unit = starts.inc(count.toDouble())

    fun setOwnedShards(count: Int): Unit = shards.set(count.toDouble())

    private companion object {
        const val MICROS_PER_SECOND = 1_000_000.0
    }
}
