package org.camphorhall.entry.store

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.delay
import org.camphorhall.core.config.ConfigUpdate
import org.camphorhall.core.config.Configuration
import org.camphorhall.platform.store.KeyValueStore
import org.camphorhall.platform.store.StoreChanges
import org.camphorhall.platform.store.StoreEntry
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
            put(e).onLeft { logger.error { "cannot decode record ${e.key}; ignoring it: $it" } }
        }
        changes.deleted.forEach(::remove)
        onChange(state)
    }

    private fun put(e: StoreEntry): Either<String, Unit> = when {
        e.key == StoreKeys.CONFIG -> recordDecoder.decode(ConfigRecord.serializer(), e.value).map { r ->
            val full = Configuration.of(r.version, r.items, r.floor)
            update { it.copy(config = if (full.version > it.config.version) full else it.config) }
        }
        e.key.startsWith(StoreKeys.ENTRIES) -> recordDecoder.decode(EntryRecord.serializer(), e.value).map { r ->
            update { it.copy(entries = it.entries + (r.id to r)) }
        }
        e.key.startsWith(StoreKeys.OWNERS) -> recordDecoder.decode(OwnerRecord.serializer(), e.value).flatMap { r ->
            val shard = shardIn(e.key) ?: return "no number of a shard".left()
            update { it.copy(owners = it.owners + (shard to ShardOwner(r, e.version))) }.right()
        }
        else -> Unit.right()
    }

    private fun shardIn(key: String): Int? = key.removePrefix(StoreKeys.OWNERS).toIntOrNull()

    private fun remove(key: String) {
        when {
            key.startsWith(StoreKeys.ENTRIES) ->
                update { it.copy(entries = it.entries - key.removePrefix(StoreKeys.ENTRIES)) }
            key.startsWith(StoreKeys.OWNERS) ->
                shardIn(key)?.let { shard -> update { it.copy(owners = it.owners - shard) } }
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
