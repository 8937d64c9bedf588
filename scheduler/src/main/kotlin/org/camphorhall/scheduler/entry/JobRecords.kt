package org.camphorhall.scheduler.entry

import arrow.core.Either
import arrow.core.flatMap
import io.github.oshai.kotlinlogging.KotlinLogging
import io.github.oshai.kotlinlogging.Level
import kotlinx.coroutines.delay
import org.camphorhall.core.jobs.JobPhase
import org.camphorhall.core.jobs.JobRecord
import org.camphorhall.core.jobs.ProgressRecord
import org.camphorhall.platform.store.StoreError
import org.camphorhall.platform.store.TransactionalStore
import org.camphorhall.process.event
import org.camphorhall.scheduler.protocol.documentJson
import org.camphorhall.scheduler.support.Clock
import org.camphorhall.scheduler.support.ShardKeys
import kotlin.time.Duration.Companion.milliseconds

private val logger = KotlinLogging.logger {}

/** How a write ended that may be repeated because it only creates a key. */
internal sealed interface WriteResult {
    /** The key is there, by this write or an earlier one. */
    data object Stored : WriteResult

    /** Nothing was written and nothing will be. */
    data class Refused(val detail: String) : WriteResult

    /** The write may be made, now or later. */
    data class Unknown(val detail: String) : WriteResult
}

/** What entries store and read of jobs. */
internal class JobRecords(
    private val store: TransactionalStore,
    private val shards: Int,
    private val clock: Clock,
) {
    /** Stores a new job; one that is there already stays as it is. [until] is on the steady clock. */
    suspend fun store(record: JobRecord, until: Long): WriteResult =
        create(keysOf(record.id).job(record.id), documentJson.encodeToString(JobRecord.serializer(), record), until)

    /** Stores the cancellation of a job. */
    suspend fun storeCancellation(id: String, until: Long): WriteResult =
        create(keysOf(id).cancellation(id), "{}", until)

    /** Whether a job is stored. */
    suspend fun exists(id: String): Either<StoreError, Boolean> = store.get(keysOf(id).job(id)).map { it != null }

    /** State of a job by its records; null if there is no such job. */
    suspend fun phaseOf(id: String): Either<StoreError, JobPhase?> {
        val keys = keysOf(id)
        return store.get(keys.progress(id)).flatMap { progress ->
            if (progress != null) {
                val text = progress.value.decodeToString()
                Either.catch { documentJson.decodeFromString(ProgressRecord.serializer(), text) }
                    .mapLeft { StoreError.Uncertain("progress of $id not understood: ${it.message}") }
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

    private suspend fun create(key: String, value: String, until: Long): WriteResult {
        var isOpen = false
        var tries = 0
        while (true) {
            val error = store.put(key, value.encodeToByteArray(), expected = 0).leftOrNull()
                ?: return WriteResult.Stored
            // Only this kind of write creates the key.
            if (error is StoreError.VersionMismatch) return WriteResult.Stored
            isOpen = isOpen || error is StoreError.Uncertain
            logger.event(Level.INFO, "record not written", "key" to key, "reason" to error, "try" to ++tries)
            val isLate = clock.steady() + RETRY_MILLIS >= until
            if (isOpen && isLate) return WriteResult.Unknown(error.toString())
            if (!isOpen && (isLate || tries >= REFUSED_TRIES)) return WriteResult.Refused(error.toString())
            delay(RETRY_MILLIS.milliseconds)
        }
    }

    private companion object {
        /** Before a write is repeated. */
        const val RETRY_MILLIS = 60L

        /** A store that refuses this often in a row is taken to be away, and the caller is told at once. */
        const val REFUSED_TRIES = 3
    }
}
