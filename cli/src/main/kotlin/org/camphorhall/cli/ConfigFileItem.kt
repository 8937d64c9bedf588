package org.camphorhall.cli

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.camphorhall.core.config.ConfigItem
import org.camphorhall.core.model.TenantQuota
import org.camphorhall.core.model.WorkClass

/** An item in a [ConfigFile]. It has the format of a [ConfigItem], but the version is optional. */
@Serializable
internal sealed interface ConfigFileItem {
    @Serializable
    @SerialName("class")
    data class OfClass(val value: WorkClass, val version: Long = 0) : ConfigFileItem

    @Serializable
    @SerialName("quota")
    data class OfQuota(val value: TenantQuota, val version: Long = 0) : ConfigFileItem

    @Serializable
    @SerialName("removed")
    data class Removed(val key: String, val version: Long = 0) : ConfigFileItem

    fun toItem(): ConfigItem = when (this) {
        is OfClass -> ConfigItem.OfClass(value, version)
        is OfQuota -> ConfigItem.OfQuota(value, version)
        is Removed -> ConfigItem.Removed(key, version)
    }
}
