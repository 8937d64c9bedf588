package org.camphorhall.entry.shard

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.camphorhall.platform.store.KeyValueStore
import org.camphorhall.platform.store.StoreChanges
import org.camphorhall.platform.store.StoreEntry
import org.camphorhall.platform.store.StoreError
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration

/** A key-value store in memory that rejects the calls for which [rejects] returns true. */
internal class InMemoryKeyValueStore : KeyValueStore {
    enum class Call { Get, Put, Delete }

    @Volatile
    var rejects: (Call) -> Boolean = { false }

    private val entries = ConcurrentHashMap<String, StoreEntry>()
    private val revision = AtomicLong()

    override suspend fun get(key: String): Either<StoreError, StoreEntry?> = respond(Call.Get) { entries[key].right() }

    override suspend fun put(
        key: String,
        value: ByteArray,
        expected: Long,
        lease: String?,
    ): Either<StoreError, Long> = respond(Call.Put) {
        val currentVersion = entries[key]?.version ?: 0
        if (currentVersion != expected) return@respond StoreError.VersionMismatch(currentVersion).left()
        val next = revision.incrementAndGet()
        entries[key] = StoreEntry(key, next, value)
        next.right()
    }

    override suspend fun delete(key: String, expected: Long): Either<StoreError, Unit> = respond(Call.Delete) {
        val currentVersion = entries[key]?.version ?: 0
        if (currentVersion != expected) return@respond StoreError.VersionMismatch(currentVersion).left()
        entries.remove(key)
        Unit.right()
    }

    override suspend fun list(prefix: String): Either<StoreError, StoreChanges> = unexpectedCall()

    override suspend fun watch(prefix: String, after: Long, wait: Duration): Either<StoreError, StoreChanges> =
        unexpectedCall()

    override suspend fun grantLease(ttl: Duration): Either<StoreError, String> = unexpectedCall()

    override suspend fun renewLease(id: String): Either<StoreError, Unit> = unexpectedCall()

    override suspend fun revokeLease(id: String): Either<StoreError, Unit> = unexpectedCall()

    private fun <T> respond(call: Call, value: () -> Either<StoreError, T>): Either<StoreError, T> =
        if (rejects(call)) StoreError.Unavailable("rejected by the test").left() else value()

    private fun unexpectedCall(): Nothing = error("the shard set does not make this call")
}
