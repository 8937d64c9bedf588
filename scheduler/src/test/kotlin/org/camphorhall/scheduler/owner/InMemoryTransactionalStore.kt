package org.camphorhall.scheduler.owner

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.delay
import org.camphorhall.platform.store.StoreChanges
import org.camphorhall.platform.store.StoreEntry
import org.camphorhall.platform.store.StoreError
import org.camphorhall.platform.store.StoreTransaction
import org.camphorhall.platform.store.TransactionalStore
import kotlin.time.Duration
import kotlin.time.TimeSource

/** In-memory key-value service that always responds. */
internal class InMemoryTransactionalStore : TransactionalStore {
    private class Lease(val ttl: Duration, var renewedAt: TimeSource.Monotonic.ValueTimeMark)

    private val entries = LinkedHashMap<String, StoreEntry>()
    private val leaseOf = HashMap<String, String>()
    private val leases = HashMap<String, Lease>()
    private var revision = 0L

    override suspend fun get(key: String): Either<StoreError, StoreEntry?> = locked { entries[key].right() }

    override suspend fun getStale(key: String): Either<StoreError, StoreEntry?> = get(key)

    override suspend fun commit(transaction: StoreTransaction): Either<StoreError, Long> = locked {
        val current = transaction.conditions.keys.mapNotNull(entries::get)
        if (transaction.conditions.any { (k, v) -> (entries[k]?.version ?: 0) != v }) {
            return@locked StoreError.Conflict(current).left()
        }
        if (transaction.writes.any { it.lease != null && it.lease !in leases }) {
            return@locked StoreError.LeaseExpired.left()
        }
        revision++
        for (w in transaction.writes) {
            entries[w.key] = StoreEntry(w.key, revision, w.value)
            w.lease?.let { leaseOf[w.key] = it } ?: leaseOf.remove(w.key)
        }
        transaction.deletes.forEach(::remove)
        revision.right()
    }

    override suspend fun put(
        key: String,
        value: ByteArray,
        expected: Long,
        lease: String?,
    ): Either<StoreError, Long> =
        commit(StoreTransaction(mapOf(key to expected), listOf(StoreTransaction.Write(key, value, lease))))

    override suspend fun delete(key: String, expected: Long): Either<StoreError, Unit> =
        commit(StoreTransaction(mapOf(key to expected), deletes = listOf(key))).map { }

    override suspend fun list(prefix: String): Either<StoreError, StoreChanges> = locked {
        StoreChanges(revision, entries.values.filter { it.key.startsWith(prefix) }, emptyList()).right()
    }

    override suspend fun watch(prefix: String, after: Long, wait: Duration): Either<StoreError, StoreChanges> {
        delay(wait)
        return list(prefix).map { c -> StoreChanges(c.revision, c.items.filter { it.version > after }, emptyList()) }
    }

    override suspend fun grantLease(ttl: Duration): Either<StoreError, String> = locked {
        val id = "lease-${++revision}"
        leases[id] = Lease(ttl, TimeSource.Monotonic.markNow())
        id.right()
    }

    override suspend fun renewLease(id: String): Either<StoreError, Unit> = locked {
        val lease = leases[id] ?: return@locked StoreError.LeaseExpired.left()
        lease.renewedAt = TimeSource.Monotonic.markNow()
        Unit.right()
    }

    override suspend fun revokeLease(id: String): Either<StoreError, Unit> = locked { removeLease(id).right() }

    private fun <T> locked(body: () -> T): T = synchronized(this) {
        leases.filterValues { it.renewedAt.elapsedNow() > it.ttl }.keys.toList().forEach(::removeLease)
        body()
    }

    private fun removeLease(id: String) {
        leases -= id
        leaseOf.filterValues { it == id }.keys.toList().forEach(::remove)
    }

    private fun remove(key: String) {
        entries -= key
        leaseOf -= key
    }
}
