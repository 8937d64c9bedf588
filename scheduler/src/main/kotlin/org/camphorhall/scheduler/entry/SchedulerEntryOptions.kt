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
    /** Time from the acknowledgement of a configuration within which it applies, in milliseconds. */
    val configApplyMillis: Long = DEFAULT_CONFIG_APPLY_MILLIS,
    /** How much longer that may take while the store is unavailable to some processes, in milliseconds. */
    val configStretchMillis: Long = DEFAULT_CONFIG_STRETCH_MILLIS,
) {
    /** Age from which a configuration may no longer be treated as the newest one, in milliseconds. */
    val maxConfigAgeMillis: Long get() = configApplyMillis + configStretchMillis

    companion object {
        const val DEFAULT_CONFIG_APPLY_MILLIS = 2_000L
        const val DEFAULT_CONFIG_STRETCH_MILLIS = 5_000L
    }
}

internal fun checkEntryOptions(o: SchedulerEntryOptions): List<SettingsProblem> = checkSettings {
    notBlank("instance", o.instance)
    address("callers", o.callers)
    address("readiness", o.readiness)
    address("metrics", o.metrics)
    address("store", o.store)
    range("shards", o.shards, 1..4_096)
    range("configApplyMillis", o.configApplyMillis, 1L..600_000L)
    range("configStretchMillis", o.configStretchMillis, 0L..600_000L)
}
