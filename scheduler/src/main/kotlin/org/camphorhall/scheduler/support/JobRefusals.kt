package org.camphorhall.scheduler.support

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import io.github.oshai.kotlinlogging.KotlinLogging
import io.github.oshai.kotlinlogging.Level
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.coroutines.withTimeoutOrNull
import org.camphorhall.platform.store.StoreError
import org.camphorhall.platform.store.StoreTransaction
import org.camphorhall.platform.store.TransactionalStore
import org.camphorhall.process.event
import kotlin.time.Duration.Companion.milliseconds

private val logger = KotlinLogging.logger {}

/**
 * Makes refusals true: a job that is refused for lack of room must not be stored by an earlier request for it, which
 * may be under way at another entry or in the store.
 *
 * Load pattern: a burst of jobs that cannot end in time. All refusals that wait for the store share one write.
 */
internal class JobRefusals(
    private val store: TransactionalStore,
    private val records: JobRecordStore,
    private val shards: Int,
) {
    private class Batch {
        val ids = LinkedHashSet<String>()
        var result: Either<StoreError, Unit>? = null
    }

    private inner class ShardRefusals(private val keys: ShardKeys) {
        private val turn = Mutex()
        private var next = Batch()

        suspend fun record(id: String): Either<StoreError, Unit> {
            val batch = synchronized(this) { next.also { it.ids += id } }
            return turn.withLock {
                batch.result ?: run {
                    synchronized(this) { if (next === batch) next = Batch() }
                    write(keys, batch.ids).also { batch.result = it }
                }
            }
        }
    }

    private val refusals = List(shards) { ShardRefusals(ShardKeys(it)) }

    /**
     * Ends the creations of the job [id] that are under way, and returns whether there is no such job. Returns false if
     * that cannot be confirmed in time.
     */
    suspend fun confirmAbsent(id: String): Boolean {
        val result = withTimeoutOrNull(TIMEOUT) {
            refusals[ShardKeys.shardOf(id, shards)].record(id).flatMap { records.exists(id) }
        } ?: StoreError.Uncertain("no time left").left()
        return result.fold(
            {
                logger.event(Level.INFO, "refusal not confirmed", "job" to id, "reason" to it)
                false
            },
            { exists -> !exists },
        )
    }

    private suspend fun write(keys: ShardKeys, ids: Set<String>): Either<StoreError, Unit> {
        repeat(MAX_CONFLICTS) {
            val result = store.get(keys.fence).flatMap { entry ->
                val current = entry.toFence()
                val write = current.fence.refuse(ids).toWrite(keys.fence)
                store.commit(StoreTransaction(mapOf(keys.fence to current.revision), listOf(write)))
            }
            val error = result.leftOrNull() ?: return Unit.right()
            if (error !is StoreError.Conflict) return error.left()
        }
        return StoreError.Unavailable("the fence changes too often").left()
    }

    private companion object {
        /** As long as a call to the store may take; the caller's job is stored in the usual way after it. */
        val TIMEOUT = 800.milliseconds
        const val MAX_CONFLICTS = 5
    }
}
