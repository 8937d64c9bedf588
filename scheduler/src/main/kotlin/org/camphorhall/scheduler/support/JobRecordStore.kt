package org.camphorhall.scheduler.support

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.getOrElse
import io.github.oshai.kotlinlogging.KotlinLogging
import io.github.oshai.kotlinlogging.Level
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.withTimeoutOrNull
import org.camphorhall.core.jobs.JobPhase
import org.camphorhall.core.jobs.JobRecord
import org.camphorhall.core.jobs.ProgressRecord
import org.camphorhall.platform.store.StoreError
import org.camphorhall.platform.store.StoreTransaction
import org.camphorhall.platform.store.TransactionalStore
import org.camphorhall.process.event
import org.camphorhall.scheduler.protocol.documentDecoder
import org.camphorhall.scheduler.protocol.documentJson
import kotlin.time.Duration.Companion.milliseconds

private val logger = KotlinLogging.logger {}

/** Stores and reads job records for entries. */
internal class JobRecordStore(
    private val store: TransactionalStore,
    private val shards: Int,
) {
    /** Withdrawals of each shard, which this process performs one at a time, since all change the same record. */
    private val withdrawals = List(shards) { Mutex() }

    /**
     * Stores a new job if the fence of its shard has revision [fence] (0: never written), at which the job must not be
     * withdrawn. An existing record is not changed.
     */
    suspend fun store(record: JobRecord, fence: Long): WriteResult {
        val keys = keysOf(record.id)
        val key = keys.job(record.id)
        val value = documentJson.encodeToString(JobRecord.serializer(), record).encodeToByteArray()
        val transaction =
            StoreTransaction(mapOf(key to 0L, keys.fence to fence), listOf(StoreTransaction.Write(key, value)))
        val error = store.commit(transaction).fold({ it }, { return WriteResult.Created(it) })
        if (error !is StoreError.Conflict) return failure(key, error)
        // Only a write of the same record creates this key, so an existing key shows that an earlier try succeeded.
        error.current.firstOrNull { it.key == key }?.let { return WriteResult.Created(it.version) }
        val current = error.current.firstOrNull { it.key == keys.fence }.toFence()
        return if (record.id in current.fence.withdrawn) WriteResult.Withdrawn else WriteResult.Superseded(current)
    }

    /** Stores a new job for an entry of an earlier build, which does not know the fence of the shard. */
    suspend fun store(record: JobRecord): WriteResult {
        val current = store.get(keysOf(record.id).fence).getOrElse { return WriteResult.Refused("$it") }.toFence()
        if (record.id in current.fence.withdrawn) return WriteResult.Refused("the job was cancelled before")
        return when (val result = store(record, current.revision)) {
            is WriteResult.Created -> WriteResult.Stored
            is WriteResult.Superseded, WriteResult.Withdrawn -> WriteResult.Refused("the fence changed meanwhile")
            else -> result
        }
    }

    /**
     * Stores the cancellation of a job. If there is none, withdraws its id, so that no creation that is under way or
     * arrives later is committed.
     */
    suspend fun storeCancellation(id: String): WriteResult {
        repeat(MAX_CONFLICTS) {
            val job = store.get(keysOf(id).job(id)).getOrElse { return WriteResult.Refused(it.toString()) }
            val result = if (job == null) withdrawInTurn(id) else cancel(id, job.version)
            if (result != null) return result
        }
        return WriteResult.LimitReached("the fence or the record of $id changes too often")
    }

    private suspend fun withdrawInTurn(id: String): WriteResult? {
        val mutex = withdrawals[ShardKeys.shardOf(id, shards)]
        var isLocked = false
        withTimeoutOrNull(TURN_TIMEOUT) {
            mutex.lock()
            isLocked = true
        }
        if (!isLocked) return WriteResult.LimitReached("too many cancellations of unknown jobs are under way")
        return try {
            withdraw(id)
        } finally {
            mutex.unlock()
        }
    }

    /** Withdraws [id]; null if the job or the fence was written meanwhile. */
    private suspend fun withdraw(id: String): WriteResult? {
        val keys = keysOf(id)
        val current = store.get(keys.fence).getOrElse { return WriteResult.Refused(it.toString()) }.toFence()
        if (id in current.fence.withdrawn) return WriteResult.NoSuchJob
        if (current.fence.isFull) return WriteResult.LimitReached("too many unknown jobs were cancelled")
        val transaction = StoreTransaction(
            mapOf(keys.job(id) to 0L, keys.fence to current.revision),
            listOf(current.fence.withdraw(id).toWrite(keys.fence)),
        )
        val error = store.commit(transaction).leftOrNull() ?: return WriteResult.NoSuchJob
        return if (error is StoreError.Conflict) null else failure(keys.fence, error)
    }

    /** Whether the job [id] is stored. */
    suspend fun exists(id: String): Either<StoreError, Boolean> =
        store.get(keysOf(id).job(id)).map { it != null }

    /** Phase of a job according to its records; null if the job does not exist. */
    suspend fun phaseOf(id: String): Either<StoreError, JobPhase?> {
        val keys = keysOf(id)
        return store.get(keys.progress(id)).flatMap { progress ->
            if (progress != null) {
                documentDecoder.decode(ProgressRecord.serializer(), progress.value)
                    .mapLeft { StoreError.Uncertain("progress of $id not understood: $it") }
                    .map { it.phase }
            } else {
                store.get(keys.job(id)).map { if (it == null) null else JobPhase.Queued }
            }
        }.flatMap { phase ->
            if (phase == null || phase.isFinal) {
                Either.Right(phase)
            } else {
                store.get(keys.cancellation(id)).map { if (it == null) phase else JobPhase.Cancelled }
            }
        }
    }

    private fun keysOf(id: String) = ShardKeys(ShardKeys.shardOf(id, shards))

    /**
     * Stores the cancellation of the job whose record has [revision]; null if that record was deleted meanwhile. A late
     * cancellation would stay in the store for ever, and cancel a later job with the same id.
     */
    private suspend fun cancel(id: String, revision: Long): WriteResult? {
        val keys = keysOf(id)
        val key = keys.cancellation(id)
        val transaction = StoreTransaction(
            mapOf(keys.job(id) to revision, key to 0L),
            listOf(StoreTransaction.Write(key, "{}".encodeToByteArray())),
        )
        val error = store.commit(transaction).leftOrNull() ?: return WriteResult.Stored
        if (error !is StoreError.Conflict) return failure(key, error)
        return if (error.current.any { it.key == key }) WriteResult.Stored else null
    }

    private fun failure(key: String, error: StoreError): WriteResult {
        logger.event(Level.INFO, "record not written", "key" to key, "reason" to error)
        val detail = error.toString()
        return if (error is StoreError.Uncertain) WriteResult.Unknown(detail) else WriteResult.Refused(detail)
    }

    private companion object {
        /** Attempts at a cancellation whose records others change at the same time. */
        const val MAX_CONFLICTS = 5

        /** As long as a call to the store may take. */
        val TURN_TIMEOUT = 800.milliseconds
    }
}
