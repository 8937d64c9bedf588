package org.camphorhall.scheduler.owner

import arrow.core.Either
import arrow.core.left
import org.camphorhall.platform.store.StoreError
import org.camphorhall.platform.store.StoreTransaction
import org.camphorhall.platform.store.TransactionalStore

/** Does not respond to the transactions that [isLate] selects; [carryOut] performs them. [before] delays the others. */
internal class LateWrites(private val store: TransactionalStore) : TransactionalStore by store {
    private val pending = mutableListOf<StoreTransaction>()

    @Volatile
    var isLate: (StoreTransaction) -> Boolean = { false }

    @Volatile
    var before: suspend (StoreTransaction) -> Unit = {}

    /** Number of transactions that wait for [carryOut]. */
    val pendingCount: Int get() = synchronized(pending) { pending.size }

    override suspend fun commit(transaction: StoreTransaction): Either<StoreError, Long> {
        if (!isLate(transaction)) {
            before(transaction)
            return store.commit(transaction)
        }
        synchronized(pending) { pending += transaction }
        return StoreError.Uncertain("no response").left()
    }

    override suspend fun put(
        key: String,
        value: ByteArray,
        expected: Long,
        lease: String?,
    ): Either<StoreError, Long> =
        commit(StoreTransaction(mapOf(key to expected), listOf(StoreTransaction.Write(key, value, lease))))

    /** Performs the transactions that got no response, in their order. */
    suspend fun carryOut() {
        val all = synchronized(pending) { pending.toList().also { pending.clear() } }
        all.forEach { store.commit(it) }
    }
}
