package org.camphorhall.scheduler.agent

import kotlinx.serialization.Serializable
import org.camphorhall.process.SettingsProblem
import org.camphorhall.process.checkSettings

/** Settings of the agent. */
@Serializable
internal data class SchedulerAgentOptions(
    /** Name of the instance, the same after a restart. */
    val instance: String,
    /** Where the worker announces itself, host:port. */
    val heartbeats: String,
    /** Where agents and entries reach this process, host:port. */
    val peers: String,
    /** Where metrics are served, host:port. */
    val metrics: String,
    /** The key-value service, host:port. */
    val store: String,
    /** Number of shards of the deployment, the same in all processes. */
    val shards: Int = 1,
)

internal fun checkAgentOptions(o: SchedulerAgentOptions): List<SettingsProblem> = checkSettings {
    notBlank("instance", o.instance)
    holds("instance", '|' !in o.instance, "\"${o.instance}\"", "a name without |")
    address("heartbeats", o.heartbeats)
    address("peers", o.peers)
    address("metrics", o.metrics)
    address("store", o.store)
    range("shards", o.shards, 1..4_096)
}
