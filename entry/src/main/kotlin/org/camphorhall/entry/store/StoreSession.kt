package org.camphorhall.entry.store

import arrow.core.getOrElse
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.delay
import org.camphorhall.core.model.MonotonicInstant
import org.camphorhall.platform.store.KeyValueStore
import org.camphorhall.platform.store.StoreError
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private val logger = KotlinLogging.logger {}

/** Keeps the entry's lease and its record in the store alive. */
internal class StoreSession(
    private val store: KeyValueStore,
    private val self: EntryRecord,
    private val ttl: Duration,
    private val clock: () -> MonotonicInstant,
    /** Called when the lease has expired; every shard of the entry is free then. */
    private val onExpired: () -> Unit,
    /** Called with the send time of each renewal that the store answered. */
    private val onRenewed: (MonotonicInstant) -> Unit,
) {
    /** Present lease, null while there is none. */
    @Volatile
    var lease: String? = null
        private set

    suspend fun run() {
        while (true) {
            val sentAt = clock()
            val currentLease = lease
            val ok = if (currentLease == null) register() else renew(currentLease)
            if (ok) onRenewed(sentAt)
            delay(if (ok) ttl / 3 else RETRY_DELAY)
        }
    }

    private suspend fun register(): Boolean {
        val id = store.grantLease(ttl).getOrElse { return false }
        val body = recordJson.encodeToString(EntryRecord.serializer(), self).encodeToByteArray()
        val key = StoreKeys.entry(self.id)
        // The record of an earlier lease may still be there; it is replaced.
        val version = store.get(key).getOrElse { return false }?.version ?: 0
        store.put(key, body, version, id).getOrElse { return false }
        lease = id
        logger.info { "entry ${self.id} has a store lease" }
        return true
    }

    private suspend fun renew(id: String): Boolean = store.renewLease(id).fold({ e ->
        if (e is StoreError.LeaseExpired) {
            logger.warn { "the store lease expired" }
            lease = null
            onExpired()
        }
        false
    }) { true }

    /** Ends the lease, which removes the entry's record and frees its shards. */
    suspend fun close() {
        lease?.let { store.revokeLease(it) }
        lease = null
    }

    private companion object {
        val RETRY_DELAY = 300.milliseconds
    }
}
