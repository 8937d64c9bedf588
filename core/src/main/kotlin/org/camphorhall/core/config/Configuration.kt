package org.camphorhall.core.config

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import org.camphorhall.core.model.ClassName
import org.camphorhall.core.model.TenantName
import org.camphorhall.core.model.TenantQuota
import org.camphorhall.core.model.WorkClass

/** The operators' configuration at one [version]. The version of a process never decreases. */
public data class Configuration(
    val version: Long = 0,
    val items: PersistentMap<String, ConfigItem> = persistentMapOf(),
    /** Greatest version of a dropped [ConfigItem.Removed]. A process with an older version needs all items. */
    val floor: Long = 0,
) {
    /** Returns the class called [name], or null. */
    public fun workClass(name: ClassName): WorkClass? =
        (items[ConfigItem.classKey(name.value)] as? ConfigItem.OfClass)?.value

    /** Returns the quota of [tenant], or null when none is set. */
    public fun quota(tenant: TenantName): TenantQuota? =
        (items[ConfigItem.quotaKey(tenant.value)] as? ConfigItem.OfQuota)?.value

    /** Returns all classes. */
    public fun classes(): List<WorkClass> = items.values.mapNotNull { (it as? ConfigItem.OfClass)?.value }

    /** Returns all quotas. */
    public fun quotas(): List<TenantQuota> = items.values.mapNotNull { (it as? ConfigItem.OfQuota)?.value }

    /** Returns the changes after version [since], or the complete configuration when [since] is below [floor]. */
    public fun updateSince(since: Long): ConfigUpdate {
        val from = if (since < floor) 0 else since
        return ConfigUpdate(version, from, items.values.filter { it.version > from }.sortedBy { it.key }, floor)
    }

    /**
     * Applies [update]. An update that is not newer than this version, or that starts after it, is ignored, since it
     * could revert the configuration or leave a gap.
     */
    public fun apply(update: ConfigUpdate): Configuration {
        if (update.version <= version || update.since > version) return this
        if (update.since == 0L) return of(update.version, update.items, update.floor)
        val merged = items.builder()
        for (i in update.items) {
            val current = merged[i.key]
            if (current == null || current.version < i.version) merged[i.key] = i
        }
        return Configuration(update.version, merged.build(), maxOf(floor, update.floor))
    }

    /** Returns the configuration at the next version with [item] changed; [item] gets that version. */
    public fun change(item: ConfigItem): Configuration {
        val next = version + 1
        val stamped = when (item) {
            is ConfigItem.OfClass -> item.copy(version = next)
            is ConfigItem.OfQuota -> item.copy(version = next)
            is ConfigItem.Removed -> item.copy(version = next)
        }
        return Configuration(next, items.put(stamped.key, stamped), floor).withoutOldRemovals()
    }

    /** Drops the older half of the removals when there are more than [MAX_REMOVALS], to bound the stored document. */
    private fun withoutOldRemovals(): Configuration {
        val removals = items.values.filterIsInstance<ConfigItem.Removed>().sortedBy { it.version }
        if (removals.size <= MAX_REMOVALS) return this
        val dropped = removals.take(removals.size / 2)
        val remaining = dropped.fold(items) { m, r -> m.remove(r.key) }
        return copy(items = remaining, floor = dropped.last().version)
    }

    public companion object {
        /** Builds a configuration from its [items] as read from the store. */
        public fun of(version: Long, items: List<ConfigItem>, floor: Long = 0): Configuration =
            Configuration(version, items.associateBy { it.key }.toPersistentMap(), floor)

        /** Limit on the kept removals. At 18,000 changes a day, only a process that is hours behind needs more. */
        private const val MAX_REMOVALS = 500
    }
}
