package org.camphorhall.core.config

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.camphorhall.core.model.TenantQuota
import org.camphorhall.core.model.WorkClass

/** One item of the configuration with the version that last changed it. */
@Serializable
public sealed interface ConfigItem {
    /** Unique key of the item, for example `class/quotes`. */
    public val key: String

    /** Configuration version that last changed this item. */
    public val version: Long

    /** A class of work. */
    @Serializable
    @SerialName("class")
    public data class OfClass(val value: WorkClass, override val version: Long) : ConfigItem {
        override val key: String get() = classKey(value.name.value)
    }

    /** The quota of a tenant. */
    @Serializable
    @SerialName("quota")
    public data class OfQuota(val value: TenantQuota, override val version: Long) : ConfigItem {
        override val key: String get() = quotaKey(value.tenant.value)
    }

    /** A marker for a removed item, so that the removal reaches every process. */
    @Serializable
    @SerialName("removed")
    public data class Removed(override val key: String, override val version: Long) : ConfigItem

    public companion object {
        /** Returns the key of the class called [name]. */
        public fun classKey(name: String): String = "class/$name"

        /** Returns the key of the quota of [tenant]. */
        public fun quotaKey(tenant: String): String = "quota/$tenant"
    }
}
