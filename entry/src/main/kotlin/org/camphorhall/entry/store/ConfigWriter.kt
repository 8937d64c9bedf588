package org.camphorhall.entry.store

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.delay
import org.camphorhall.core.config.ConfigItem
import org.camphorhall.core.config.Configuration
import org.camphorhall.platform.store.KeyValueStore
import org.camphorhall.platform.store.StoreError
import kotlin.time.Duration.Companion.milliseconds

/** Changes the configuration document by compare-and-swap on its store version. */
internal class ConfigWriter(private val store: KeyValueStore, private val writer: String) {
    /** Cause of a change that was not made, or whose effect is unknown. */
    sealed interface Failure {
        /** Another operator changed the item; [current] is null when it does not exist. */
        data class Conflict(val current: ConfigItem?) : Failure

        /** The store is unavailable; the change was not committed. */
        data object Unavailable : Failure

        /** The response was lost and reading the document did not show the change; it may have taken effect. */
        data object InDoubt : Failure
    }

    private class Document(val storeVersion: Long, val config: Configuration, val token: String)

    private var writes = 0L

    /**
     * Writes [item] if it has version [ifVersion] (0: absent), or, when that is null, the version that it has at the
     * first read. Returns the new configuration.
     */
    suspend fun change(item: ConfigItem, ifVersion: Long?): Either<Failure, Configuration> {
        var pinnedVersion = ifVersion
        val token = "$writer/${synchronized(this) { ++writes }}"
        var inDoubt = false
        repeat(MAX_TRIES) {
            val doc = read()
            if (doc == null) {
                delay(RETRY_DELAY)
                return@repeat
            }
            val current = doc.config.items[item.key]
            if (inDoubt && (doc.token == token || current.hasSameValueAs(item))) return doc.config.right()
            val present = current?.takeIf { it !is ConfigItem.Removed }
            val expectedVersion = pinnedVersion ?: (present?.version ?: 0).also { pinnedVersion = it }
            if (expectedVersion != (present?.version ?: 0)) return Failure.Conflict(present).left()
            val next = doc.config.change(item)
            val body = ConfigRecord(next.version, token, next.items.values.toList(), next.floor)
            val bytes = recordJson.encodeToString(ConfigRecord.serializer(), body).encodeToByteArray()
            when (store.put(StoreKeys.CONFIG, bytes, doc.storeVersion).leftOrNull()) {
                null -> return next.right()
                is StoreError.VersionMismatch -> Unit
                is StoreError.Uncertain -> inDoubt = true
                else -> delay(RETRY_DELAY)
            }
        }
        return (if (inDoubt) Failure.InDoubt else Failure.Unavailable).left()
    }

    private fun ConfigItem?.hasSameValueAs(item: ConfigItem): Boolean = when (item) {
        is ConfigItem.OfClass -> this is ConfigItem.OfClass && value == item.value
        is ConfigItem.OfQuota -> this is ConfigItem.OfQuota && value == item.value
        is ConfigItem.Removed -> this is ConfigItem.Removed
    }

    private suspend fun read(): Document? = store.get(StoreKeys.CONFIG).fold({ null }) { e ->
        if (e == null) return Document(0, Configuration(), "")
        recordDecoder.decode(ConfigRecord.serializer(), e.value).getOrNull()
            ?.let { Document(e.version, Configuration.of(it.version, it.items, it.floor), it.token) }
    }

    private companion object {
        const val MAX_TRIES = 5
        val RETRY_DELAY = 100.milliseconds
    }
}
