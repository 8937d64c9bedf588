package org.camphorhall.core.config

import kotlinx.serialization.Serializable

/** The items that changed after version [since] up to [version]; all items when [since] is 0. */
@Serializable
public data class ConfigUpdate(
    val version: Long,
    val since: Long,
    val items: List<ConfigItem>,
    /** See [Configuration.floor]. */
    val floor: Long = 0,
)
