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

/** A key-value store in memory that refuses the calls for which [refuses] returns true. */
internal class MemoryStore : KeyValueStore {
    enum class Call { Get, Put, Delete }

    @Volatile
    var refuses: (Call) -> Boolean = { false }

    private val entries = ConcurrentHashMap<String, StoreEntry>()
    private val revision = AtomicLong()

    override suspend fun get(key: String): Either<StoreError, StoreEntry?> = answer(Call.Get) { entries[key].right() }

    override suspend fun put(
        key: String,
        value: ByteArray,
        expected: Long,
        lease: String?,
    ): Either<StoreError, Long> = answer(Call.Put) {
        val held = entries[key]?.version ?: 0
        if (held != expected) return@answer StoreError.VersionMismatch(held).left()
        val next = revision.incrementAndGet()
        entries[key] = StoreEntry(key, next, value)
        next.right()
    }

    override suspend fun delete(key: String, expected: Long): Either<StoreError, Unit> = answer(Call.Delete) {
        val held = entries[key]?.version ?: 0
        if (held != expected) return@answer StoreError.VersionMismatch(held).left()
        entries.remove(key)
        Unit.right()
    }

    override suspend fun list(prefix: String): Either<StoreError, StoreChanges> = unused()

    override suspend fun watch(prefix: String, after: Long, wait: Duration): Either<StoreError, StoreChanges> = unused()

    override suspend fun grantLease(ttl: Duration): Either<StoreError, String> = unused()

    override suspend fun renewLease(id: String): Either<StoreError, Unit> = unused()

    override suspend fun revokeLease(id: String): Either<StoreError, Unit> = unused()

    private fun <T> answer(call: Call, value: () -> Either<StoreError, T>): Either<StoreError, T> =
        if (refuses(call)) StoreError.Unavailable("refused by the test").left() else value()

    private fun unused(): Nothing = error("the shard set does not make this call")
}
