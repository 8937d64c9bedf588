package org.camphorhall.entry.store

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.delay
import org.camphorhall.core.config.ConfigUpdate
import org.camphorhall.core.config.Configuration
import org.camphorhall.platform.store.KeyValueStore
import org.camphorhall.platform.store.StoreChanges
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val logger = KotlinLogging.logger {}

/** Tracks the deployment's records in the store with one long-polling watch. */
internal class ClusterWatch(
    private val store: KeyValueStore,
    private val onChange: (ClusterState) -> Unit,
) {
    @Volatile
    var state: ClusterState = ClusterState()
        private set

    /** Whether the records have been read since the process started. */
    @Volatile
    var synced: Boolean = false
        private set

    /** Whether the configuration has been read or received; it may be missing just after the start. */
    val hasConfig: Boolean get() = synced || state.config.version > 0

    suspend fun run() {
        while (true) {
            val listed = store.list(StoreKeys.META).getOrNull()
            if (listed == null) {
                delay(RETRY_DELAY)
                continue
            }
            replace(listed)
            follow()
        }
    }

    private suspend fun follow() {
        while (true) {
            val changes = store.watch(StoreKeys.META, state.revision, WATCH_TIMEOUT).getOrNull() ?: return
            if (changes.items.isNotEmpty() || changes.deleted.isNotEmpty()) apply(changes)
            update { it.copy(revision = maxOf(it.revision, changes.revision)) }
        }
    }

    private fun replace(all: StoreChanges) {
        update { it.copy(entries = emptyMap(), owners = emptyMap(), revision = all.revision) }
        apply(all)
        synced = true
    }

    private fun apply(changes: StoreChanges) {
        for (e in changes.items) {
            runCatching { put(e.key, e.version, e.value.decodeToString()) }
                .onFailure { logger.error(it) { "cannot decode record ${e.key}; ignoring it" } }
        }
        changes.deleted.forEach(::remove)
        onChange(state)
    }

    private fun put(key: String, version: Long, value: String) {
        when {
            key == StoreKeys.CONFIG -> {
                val r = recordJson.decodeFromString(ConfigRecord.serializer(), value)
                val full = Configuration.of(r.version, r.items, r.floor)
                update { it.copy(config = if (full.version > it.config.version) full else it.config) }
            }
            key.startsWith(StoreKeys.ENTRIES) -> {
                val r = recordJson.decodeFromString(EntryRecord.serializer(), value)
                update { it.copy(entries = it.entries + (r.id to r)) }
            }
            key.startsWith(StoreKeys.OWNERS) -> {
                val shard = key.removePrefix(StoreKeys.OWNERS).toInt()
                val r = recordJson.decodeFromString(OwnerRecord.serializer(), value)
                update { it.copy(owners = it.owners + (shard to ShardOwner(r, version))) }
            }
        }
    }

    private fun remove(key: String) {
        when {
            key.startsWith(StoreKeys.ENTRIES) ->
                update { it.copy(entries = it.entries - key.removePrefix(StoreKeys.ENTRIES)) }
            key.startsWith(StoreKeys.OWNERS) ->
                update { it.copy(owners = it.owners - key.removePrefix(StoreKeys.OWNERS).toInt()) }
        }
    }

    /** Applies a configuration received from another process, for example during a store outage. */
    fun applyConfig(update: ConfigUpdate) {
        val before = state.config.version
        update { it.copy(config = it.config.apply(update)) }
        if (state.config.version > before) onChange(state)
    }

    @Synchronized
    private fun update(change: (ClusterState) -> ClusterState) {
        state = change(state)
    }

    private companion object {
        val WATCH_TIMEOUT = 20.seconds
        val RETRY_DELAY = 300.milliseconds
    }
}
