package org.camphorhall.scheduler.entry.fuzz

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.camphorhall.platform.store.StoreEntry
import org.camphorhall.platform.store.StoreError
import org.camphorhall.platform.store.StoreTransaction
import org.camphorhall.platform.store.TransactionalStore
import org.camphorhall.scheduler.support.ShardKeys
import org.camphorhall.scheduler.support.toFence
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

/**
 * A store of which [faultPercent] of the writes lose their responses, are carried out seconds later, are refused, or
 * are held up before they are sent. Shows [oracle] each write that it carries out, and leaves out the guard of [fault].
 */
internal class UnreliableStore(
    private val store: TransactionalStore,
    private val keys: ShardKeys,
    private val scope: CoroutineScope,
    private val random: Random,
    private val oracle: IntakeOracle,
    private val now: () -> Long,
    private val fault: IntakeFault?,
    private val faultPercent: Int,
) : TransactionalStore by store {
    override suspend fun get(key: String): Either<StoreError, StoreEntry?> {
        delay(random.nextLong(1, 8).milliseconds)
        return if (random.nextInt(200) < faultPercent) StoreError.Unavailable("refused").left() else store.get(key)
    }

    override suspend fun commit(transaction: StoreTransaction): Either<StoreError, Long> {
        val issuedAt = now()
        delay(random.nextLong(1, 8).milliseconds)
        if (random.nextInt(100) >= faultPercent) return carryOut(transaction, issuedAt)
        return when (random.nextInt(5)) {
            0 -> StoreError.Unavailable("refused").left()
            1 -> {
                carryOut(transaction, issuedAt)
                noResponse()
            }
            2 -> {
                // The process is held up between its decision and the call.
                delay(random.nextLong(2_000, 20_000).milliseconds)
                carryOut(transaction, issuedAt)
            }
            else -> {
                val lateMillis = random.nextLong(1_000, 9_000)
                scope.launch {
                    delay(lateMillis.milliseconds)
                    carryOut(transaction, issuedAt)
                }
                noResponse()
            }
        }
    }

    private suspend fun noResponse(): Either<StoreError, Nothing> {
        delay(TIMEOUT)
        return StoreError.Uncertain("no response").left()
    }

    private suspend fun carryOut(t: StoreTransaction, issuedAt: Long): Either<StoreError, Long> {
        if (fault == IntakeFault.RefusalsOnlyRead && isRefusal(t)) return 1L.right()
        val planted = StoreTransaction(t.conditions.filterNot { (key, _) -> isLeftOut(t, key) }, t.writes, t.deletes)
        val involved = (t.conditions.keys + t.deletes).associateWith { store.get(it).getOrNull()?.version }
        val result = store.commit(planted)
        if (result.isRight()) {
            val current = involved.mapNotNull { (key, version) -> version?.let { key to it } }.toMap()
            oracle.check(t, issuedAt, now(), current)
        }
        delay(random.nextLong(1, 8).milliseconds)
        return result
    }

    private fun isLeftOut(t: StoreTransaction, condition: String): Boolean = when (fault) {
        IntakeFault.CreationsIgnoreFence -> condition == keys.fence && t.writes.any { keys.jobIdOf(it.key) != null }
        IntakeFault.CancellationsIgnoreRecord ->
            keys.jobIdOf(condition) != null && t.writes.any { keys.cancelledJobIdOf(it.key) != null }
        IntakeFault.DeletionsIgnoreRecord -> keys.jobIdOf(condition) != null && t.deletes.isNotEmpty()
        else -> false
    }

    private suspend fun isRefusal(t: StoreTransaction): Boolean {
        val write = t.writes.singleOrNull { it.key == keys.fence } ?: return false
        val before = store.get(keys.fence).getOrNull().toFence().fence
        return StoreEntry(write.key, 0, write.value).toFence().fence.refused != before.refused
    }

    private companion object {
        val TIMEOUT = 800.milliseconds
    }
}
