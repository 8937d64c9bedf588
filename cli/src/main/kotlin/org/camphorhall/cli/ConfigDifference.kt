package org.camphorhall.cli

import kotlinx.serialization.Serializable
import org.camphorhall.core.config.ConfigItem

/** An item whose value in force differs from that in a file. A side without the item is null. */
@Serializable
internal data class ConfigDifference(val key: String, val inForce: ConfigItem?, val file: ConfigItem?)

/** Compares the items [inForce] with those of a [file], ignoring versions. A removed item counts as absent. */
internal fun diffItems(inForce: List<ConfigItem>, file: List<ConfigItem>): List<ConfigDifference> {
    val current = inForce.filter { it !is ConfigItem.Removed }.associateBy { it.key }
    val desired = file.filter { it !is ConfigItem.Removed }.associateBy { it.key }
    return (current.keys + desired.keys).sorted()
        .filter { valueOf(current[it]) != valueOf(desired[it]) }
        .map { ConfigDifference(it, current[it], desired[it]) }
}

private fun valueOf(item: ConfigItem?): Any? = when (item) {
    is ConfigItem.OfClass -> item.value
    is ConfigItem.OfQuota -> item.value
    is ConfigItem.Removed, null -> null
}
