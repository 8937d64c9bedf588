package org.camphorhall.cli

import kotlinx.serialization.Serializable
import org.camphorhall.core.config.ConfigItem

/** Response of `GET /v1/config`: the configuration in force. */
@Serializable
internal data class ConfigView(val version: Long, val items: List<ConfigItem>) {
    val classes: List<ConfigItem.OfClass> get() = items.filterIsInstance<ConfigItem.OfClass>().sortedBy { it.key }
    val quotas: List<ConfigItem.OfQuota> get() = items.filterIsInstance<ConfigItem.OfQuota>().sortedBy { it.key }
}
