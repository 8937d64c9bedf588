package org.camphorhall.scheduler.support

import arrow.core.Either
import arrow.core.flatMap
import io.github.oshai.kotlinlogging.KotlinLogging
import io.github.oshai.kotlinlogging.Level
import org.camphorhall.core.jobs.JobPhase
import org.camphorhall.core.jobs.JobRecord
import org.camphorhall.core.jobs.ProgressRecord
import org.camphorhall.platform.store.StoreError
import org.camphorhall.platform.store.TransactionalStore
import org.camphorhall.process.event
import org.camphorhall.scheduler.protocol.documentDecoder
import org.camphorhall.scheduler.protocol.documentJson

private val logger = KotlinLogging.logger {}

/** Stores and reads job records for entries. */
internal class JobRecordStore(
    private val store: TransactionalStore,
    private val shards: Int,
) {
    /** Stores a new job; an existing record is not changed. */
    suspend fun store(record: JobRecord): WriteResult =
        create(keysOf(record.id).job(record.id), documentJson.encodeToString(JobRecord.serializer(), record))

    /** Stores the cancellation of an existing job. */
    suspend fun storeCancellation(id: String): WriteResult = exists(id).fold(
        { WriteResult.Refused(it.toString()) },
        { if (it) create(keysOf(id).cancellation(id), "{}") else WriteResult.NoSuchJob },
    )

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

    private suspend fun create(key: String, value: String): WriteResult {
        val error = store.put(key, value.encodeToByteArray(), expected = 0).leftOrNull() ?: return WriteResult.Stored
        // Only a write of the same record creates this key, so an existing key shows that an earlier try succeeded.
        if (error is StoreError.VersionMismatch) return WriteResult.Stored
        logger.event(Level.INFO, "record not written", "key" to key, "reason" to error)
        val detail = error.toString()
        return if (error is StoreError.Uncertain) WriteResult.Unknown(detail) else WriteResult.Refused(detail)
    }
}
