package org.camphorhall.agent

import io.github.oshai.kotlinlogging.KotlinLogging
import org.camphorhall.core.agent.AgentAction
import org.camphorhall.core.agent.Request
import org.camphorhall.process.Metrics
import org.camphorhall.wire.reasonCode
import kotlin.time.DurationUnit

private val logger = KotlinLogging.logger {}

internal class AgentMetrics(metrics: Metrics) {
    private val queueTime = metrics.histogram("camphorhall_queue_seconds", "Wait of requests for a slot", "class")
    private val runTime = metrics.histogram("camphorhall_run_seconds", "Run time at the backend server", "class")
    private val outcomes =
        metrics.counter("camphorhall_requests", "Requests by outcome and reason", "class", "outcome", "reason")
    private val runtimeCalls = metrics.counter("camphorhall_task_calls", "Calls to the worker runtime by kind", "kind")
    private val evictions = metrics.counter("camphorhall_evictions", "Tasks stopped here by reason", "reason")

    private val configVersion = metrics.gauge("camphorhall_config_version", "Version of the configuration in force")

    /** Records the [version] of the configuration that this process now applies. */
    fun recordConfigVersion(version: Long) {
        configVersion.set(version.toDouble())
        logger.debug { "configuration $version is in force" }
    }

    fun recordResponse(r: Request, a: AgentAction.Respond) {
        val name = r.className.value
        outcomes.labelValues(name, a.outcome.code, a.outcome.reasonCode).inc()
        queueTime.labelValues(name).observe(a.queueTime.toDouble(DurationUnit.SECONDS))
        if (a.runTime.isPositive()) runTime.labelValues(name).observe(a.runTime.toDouble(DurationUnit.SECONDS))
    }

    fun countRuntimeCall(kind: String): Unit = runtimeCalls.labelValues(kind).inc()

    fun countEviction(reason: String): Unit = evictions.labelValues(reason).inc()
}
