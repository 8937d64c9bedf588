package org.camphorhall.scheduler.entry

import kotlinx.serialization.Serializable
import org.camphorhall.process.SettingsProblem
import org.camphorhall.process.checkSettings

/** Settings of the entry. */
@Serializable
internal data class SchedulerEntryOptions(
    /** Name of the instance, for logs. */
    val instance: String,
    /** Listen address for requests of callers, host:port. */
    val callers: String,
    /** Listen address for readiness checks of the balancer, host:port. */
    val readiness: String,
    /** Listen address for metrics, host:port. */
    val metrics: String,
    /** Address of the key-value service, host:port. */
    val store: String,
    /** Number of shards of the deployment; must be the same in all processes. */
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
