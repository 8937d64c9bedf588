package org.camphorhall.agent

import io.github.oshai.kotlinlogging.KotlinLogging
import org.camphorhall.core.agent.AgentAction
import org.camphorhall.core.agent.Request
import org.camphorhall.process.Metrics
import org.camphorhall.wire.reasonCode
import kotlin.time.DurationUnit

private val logger = KotlinLogging.logger {}

/** Metrics of the agent. */
internal class AgentMetrics(metrics: Metrics) {
    private val queue = metrics.histogram("camphorhall_queue_seconds", "Wait of requests for a slot", "class")
    private val run = metrics.histogram("camphorhall_run_seconds", "Run time at the backend server", "class")
    private val outcomes =
        metrics.counter("camphorhall_requests", "Requests by outcome and reason", "class", "outcome", "reason")
    private val tasks = metrics.counter("camphorhall_task_calls", "Calls to the worker runtime by kind", "kind")
    private val evictions = metrics.counter("camphorhall_evictions", "Tasks stopped here by reason", "reason")

    private val config = metrics.gauge("camphorhall_config_version", "Version of the configuration in force")

    /** Notes that a configuration is in force on this process. */
    fun configInForce(version: Long) {
        config.set(version.toDouble())
        logger.debug { "configuration $version is in force" }
    }

    fun answered(r: Request, a: AgentAction.Respond) {
        val name = r.className.value
        outcomes.labelValues(name, a.outcome.code, a.outcome.reasonCode).inc()
        queue.labelValues(name).observe(a.queueTime.toDouble(DurationUnit.SECONDS))
        if (a.runTime.isPositive()) run.labelValues(name).observe(a.runTime.toDouble(DurationUnit.SECONDS))
    }

    fun runtimeCall(kind: String): Unit = tasks.labelValues(kind).inc()

    fun evicted(reason: String): Unit = evictions.labelValues(reason).inc()
}
