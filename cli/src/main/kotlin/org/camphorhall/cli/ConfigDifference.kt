package org.camphorhall.cli

import kotlinx.serialization.Serializable
import org.camphorhall.core.config.ConfigItem

/** An item that is not the same in a file and in force. A side is null where the item does not exist. */
@Serializable
internal data class ConfigDifference(val key: String, val inForce: ConfigItem?, val file: ConfigItem?)

/** Compares the items [inForce] with those of a [file] by their values. A removed item counts as absent. */
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
