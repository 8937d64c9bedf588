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

/** Registers the entry in the store and renews its lease. */
internal class StoreSession(
    private val store: KeyValueStore,
    private val self: EntryRecord,
    private val ttl: Duration,
    private val clock: () -> MonotonicInstant,
    /** Called when the lease has expired, which frees all shards of the entry. */
    private val onExpired: () -> Unit,
    /** Called with the send time of each successful grant or renewal. */
    private val onRenewed: (MonotonicInstant) -> Unit,
) {
    /** Current lease; null while there is none. */
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
        // Replaces the record of an earlier lease, if there is one.
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

    /** Revokes the lease, which deletes the entry's record and frees its shards. */
    suspend fun close() {
        lease?.let { store.revokeLease(it) }
        lease = null
    }

    private companion object {
        val RETRY_DELAY = 300.milliseconds
    }
}
