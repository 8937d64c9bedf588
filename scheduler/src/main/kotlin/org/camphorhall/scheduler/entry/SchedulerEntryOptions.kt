package org.camphorhall.scheduler.entry

import kotlinx.serialization.Serializable
import org.camphorhall.process.SettingsProblem
import org.camphorhall.process.checkSettings

/** Settings of the entry. */
@Serializable
internal data class SchedulerEntryOptions(
    /** Name of the instance, for logs. */
    val instance: String,
    /** Where callers send their requests, host:port. */
    val callers: String,
    /** Where the balancer asks whether the entry is ready, host:port. */
    val readiness: String,
    /** Where metrics are served, host:port. */
    val metrics: String,
    /** The key-value service, host:port. */
    val store: String,
    /** Number of shards of the deployment, the same in all processes. */
    val shards: Int = 1,
)

internal fun checkEntryOptions(o: SchedulerEntryOptions): List<SettingsProblem> = checkSettings {
    notBlank("instance", o.instance)
    address("callers", o.callers)
    address("readiness", o.readiness)
    address("metrics", o.metrics)
    address("store", o.store)
    range("shards", o.shards, 1..4_096)
}
