package org.camphorhall.agent

import kotlinx.serialization.Serializable
import org.camphorhall.process.SettingsProblem
import org.camphorhall.process.checkSettings

/** Settings of the agent. */
@Serializable
internal data class AgentOptions(
    /** Address of the gRPC server, host:port; entries reach the agent there. */
    val listen: String,
    /** Address of the HTTP server for backend servers and operators. */
    val httpListen: String,
    val failureDomain: String,
    /** Address at which entries reach the agent, host:port; [listen] if null. */
    val advertise: String? = null,
    /** URL of the worker runtime on this instance. */
    val runtimeUrl: String,
    /** Seed entries, as gRPC addresses; their heartbeat responses list the current entries. */
    val entries: List<String>,
    /** Scheduling policy of the agent: `default`, or a baseline for measurements. */
    val policy: String = "default",
    /** Number of shards; the same on all processes. */
    val shards: Int = 16,
    val heartbeatMillis: Long = 1_000,
    val taskLeaseMillis: Long = 10_000,
    /** Interval between two checkpoints of a running task. */
    val checkpointMillis: Long = 30_000,
    val maxQueue: Int = 256,
    /** Maximum time that a drain waits for requests and tasks in flight. */
    val drainLimitMillis: Long = 30_000,
)

internal fun checkOptions(o: AgentOptions): List<SettingsProblem> = checkSettings {
    address("listen", o.listen)
    address("httpListen", o.httpListen)
    o.advertise?.let { address("advertise", it) }
    notBlank("failureDomain", o.failureDomain)
    holds("runtimeUrl", o.runtimeUrl.startsWith("http://"), o.runtimeUrl, "a URL that starts with http://")
    holds("entries", o.entries.isNotEmpty(), "[]", "at least one address")
    o.entries.forEachIndexed { i, e -> address("entries[$i]", e) }
    holds("policy", o.policy in policies, o.policy, policies.keys.joinToString())
    range("shards", o.shards, 1..4_096)
    range("heartbeatMillis", o.heartbeatMillis, 50L..5_000L)
    holds(
        "taskLeaseMillis",
        o.taskLeaseMillis >= 3 * o.heartbeatMillis,
        o.taskLeaseMillis.toString(),
        "at least three times heartbeatMillis",
    )
    positive("checkpointMillis", o.checkpointMillis)
    range("maxQueue", o.maxQueue, 1..100_000)
    range("drainLimitMillis", o.drainLimitMillis, 0L..3_600_000L)
}
