package org.camphorhall.scheduler.owner

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.getOrElse
import arrow.core.left
import arrow.core.right
import io.github.oshai.kotlinlogging.KotlinLogging
import io.github.oshai.kotlinlogging.Level
import kotlinx.coroutines.delay
import org.camphorhall.core.jobs.Commit
import org.camphorhall.core.jobs.JobRecord
import org.camphorhall.core.jobs.ProgressRecord
import org.camphorhall.core.jobs.StoredJob
import org.camphorhall.platform.store.StoreEntry
import org.camphorhall.platform.store.StoreError
import org.camphorhall.platform.store.StoreTransaction
import org.camphorhall.platform.store.TransactionalStore
import org.camphorhall.process.event
import org.camphorhall.scheduler.protocol.documentDecoder
import org.camphorhall.scheduler.protocol.documentJson
import org.camphorhall.scheduler.support.ShardKeys
import org.camphorhall.scheduler.support.toFence
import kotlin.time.Duration.Companion.milliseconds

private val logger = KotlinLogging.logger {}

/** Reads and writes the stored records of one shard. */
internal class ShardStore(private val store: TransactionalStore, private val keys: ShardKeys) {
    /** All jobs of the shard, and the ids of the [withdrawn] ones that were never stored, as of [revision]. */
    class Snapshot(val jobs: List<StoredJob>, val withdrawn: Set<String>, val revision: Long) {
        /** Jobs to accept. A finished one may expire meanwhile, and would run again if it were accepted then. */
        val unfinishedJobs: List<StoredJob> get() = jobs.filterNot { it.progress?.phase?.isFinal ?: false }

        /** Number of jobs that have ended while attempts of them may run; the new owner stops these. */
        val endedJobsWithAttempts: Int
            get() = jobs.count { j -> j.progress?.let { it.phase.isFinal && it.workers.isNotEmpty() } ?: false }
    }

    /** Reads all jobs with their progress. */
    suspend fun load(): Either<StoreError, Snapshot> {
        val stored = store.list(keys.progressPrefix).getOrElse { return it.left() }
        val progress = stored.items.associateBy { keys.progressJobIdOf(it.key) }
        val inbox = store.list(keys.inboxPrefix).getOrElse { return it.left() }
        val cancelled = inbox.items.mapNotNull { keys.cancelledJobIdOf(it.key) }.toSet()
        val jobs = decodeJobs(inbox.items).map { (record, revision) ->
            val entry = progress[record.id]
            StoredJob(record, entry?.let(::decodeProgress), entry?.version ?: 0, record.id in cancelled, revision)
        }
        val withdrawn = inbox.items.firstOrNull { it.key == keys.fence }.toFence().fence.withdrawn
        return Snapshot(jobs, withdrawn, inbox.revision).right()
    }

    /**
     * Writes [commit] on the condition that the epoch key has [epochRevision], and retries until the outcome is known.
     * Leaves out the new jobs whose own records are not in the store. Returns null if another process owns the shard or
     * has changed the records.
     */
    suspend fun write(commit: Commit, epochRevision: Long): CommitResult? {
        var writes = commit.writes
        var retryMillis = INITIAL_RETRY_MILLIS
        while (true) {
            val error = commit(writes, epochRevision).fold({ it }, { return commit.result(it, writes) })
            if (error is StoreError.Conflict) {
                when (val conflict = resolveConflict(error.current, writes, epochRevision)) {
                    is Conflict.Written -> return commit.result(conflict.revision, writes)
                    is Conflict.Missing -> writes = writes.filterNot { it.job in conflict.jobs }
                    Conflict.Lost -> return null
                }
            } else {
                logger.event(Level.INFO, "progress not written yet", "jobs" to writes.size, "reason" to error)
                delay(retryMillis.milliseconds)
                retryMillis = (retryMillis * 2).coerceAtMost(MAX_RETRY_MILLIS)
            }
        }
    }

    private suspend fun commit(writes: List<Commit.Write>, epochRevision: Long): Either<StoreError, Long> {
        val progress = writes.associate { keys.progress(it.job) to it.expectedRevision }
        val records = writes.filter { it.isNew }.associate { keys.job(it.job) to it.recordRevision }
        return store.commit(
            StoreTransaction(
                progress + records + (keys.epoch to epochRevision),
                writes.map { StoreTransaction.Write(keys.progress(it.job), encode(it.record)) },
            ),
        )
    }

    private fun Commit.result(revision: Long, written: List<Commit.Write>) =
        CommitResult(revision, writes.mapTo(HashSet()) { it.job } - written.mapTo(HashSet()) { it.job })

    /** What a conflict shows about the writes of a transaction. */
    private sealed interface Conflict {
        /** An earlier call without a response has written all of them. */
        class Written(val revision: Long) : Conflict

        /** None is written, because the records of these [jobs] are not in the store. */
        class Missing(val jobs: Set<String>) : Conflict

        data object Lost : Conflict
    }

    private fun resolveConflict(
        current: List<StoreEntry>,
        writes: List<Commit.Write>,
        epochRevision: Long,
    ): Conflict {
        val byKey = current.associateBy { it.key }
        if (byKey[keys.epoch]?.version != epochRevision) return Conflict.Lost
        val revisions = writes.map { w ->
            byKey[keys.progress(w.job)]?.takeIf { it.value.contentEquals(encode(w.record)) }?.version
        }.distinct()
        revisions.singleOrNull()?.let { return Conflict.Written(it) }
        val missing = writes.filter { it.isNew && byKey[keys.job(it.job)]?.version != it.recordRevision }
        if (missing.isNotEmpty()) return Conflict.Missing(missing.mapTo(HashSet()) { it.job })
        logger.event(
            Level.ERROR,
            "progress records differ from this owner's writes; releasing the shard",
            "jobs" to writes.size,
        )
        return Conflict.Lost
    }

    /** Waits at most [WATCH_MILLIS] for jobs and cancellations that are newer than [revision]. */
    suspend fun awaitInboxChange(revision: Long): Either<StoreError, InboxChange> =
        store.watch(keys.inboxPrefix, revision, WATCH_MILLIS.milliseconds).map { change ->
            InboxChange(
                jobs = decodeJobs(change.items),
                cancelled = change.items.mapNotNull { keys.cancelledJobIdOf(it.key) },
                withdrawn = change.items.firstOrNull { it.key == keys.fence }?.toFence()?.fence?.withdrawn,
                revision = change.revision,
            )
        }

    /**
     * Writes the fence without the [forgotten] ids, on the condition that the epoch key has [epochRevision], and
     * retries until it is written. Returns false if another process owns the shard.
     */
    suspend fun advanceFence(forgotten: Set<String>, epochRevision: Long): Boolean {
        while (true) {
            val error = store.get(keys.fence).flatMap { entry ->
                val current = entry.toFence()
                val conditions = mapOf(keys.epoch to epochRevision, keys.fence to current.revision)
                store.commit(StoreTransaction(conditions, listOf(current.fence.forget(forgotten).toWrite(keys.fence))))
            }.leftOrNull() ?: return true
            if (error is StoreError.Conflict && error.current.none { it.isEpochAt(epochRevision) }) return false
            logger.event(Level.INFO, "fence not written yet", "reason" to error)
            delay(MAX_RETRY_MILLIS.milliseconds)
        }
    }

    private fun StoreEntry.isEpochAt(revision: Long) = key == keys.epoch && version == revision

    /**
     * Deletes all records of the finished [jobs], whose ids are mapped to the revisions of their records (0 if not
     * known), and retries until the outcome is known. Calls [onDeleted] with each part of them. Returns false if
     * another process owns the shard. A late deletion spares a later job with the same id, as its record has another
     * revision.
     */
    suspend fun delete(
        jobs: Map<String, Long>,
        epochRevision: Long,
        onDeleted: (Collection<String>) -> Unit = {},
    ): Boolean {
        for (batch in jobs.entries.chunked(JOBS_PER_DELETE)) {
            if (!deleteBatch(batch.associate { it.toPair() }, epochRevision)) return false
            onDeleted(batch.map { it.key })
        }
        return true
    }

    private suspend fun deleteBatch(jobs: Map<String, Long>, epochRevision: Long): Boolean {
        var left = jobs
        while (left.isNotEmpty()) {
            val conditions = left.filterValues { it > 0 }.mapKeys { keys.job(it.key) }
            val deletes = left.keys.flatMap { listOf(keys.job(it), keys.cancellation(it), keys.progress(it)) }
            val transaction = StoreTransaction(conditions + (keys.epoch to epochRevision), deletes = deletes)
            val error = store.commit(transaction).leftOrNull() ?: return true
            if (error is StoreError.Conflict) {
                if (error.current.none { it.isEpochAt(epochRevision) }) return false
                // An earlier try without a response has deleted the others.
                val present = error.current.associate { it.key to it.version }
                left = left.filter { (id, revision) -> revision == 0L || present[keys.job(id)] == revision }
            } else {
                logger.event(Level.WARN, "finished jobs not deleted yet", "jobs" to left.size, "reason" to error)
                delay(MAX_RETRY_MILLIS.milliseconds)
            }
        }
        return true
    }

    private fun decodeJobs(entries: List<StoreEntry>): List<StoredRecord> =
        entries.filter { keys.jobIdOf(it.key) != null }
            .mapNotNull { entry -> decodeJob(entry)?.let { StoredRecord(it, entry.version) } }

    private fun decodeJob(e: StoreEntry): JobRecord? = documentDecoder.decode(JobRecord.serializer(), e.value)
        .flatMap { if (it.id == keys.jobIdOf(e.key)) it.right() else "record of job ${it.id}".left() }
        .onLeft {
            val message = "job record cannot be decoded; skipping the job"
            logger.event(Level.ERROR, message, "key" to e.key, "reason" to it)
        }
        .getOrNull()

    private fun decodeProgress(e: StoreEntry): ProgressRecord? =
        documentDecoder.decode(ProgressRecord.serializer(), e.value)
            .onLeft {
                val message = "progress record cannot be decoded; ignoring it"
                logger.event(Level.ERROR, message, "key" to e.key, "reason" to it)
            }
            .getOrNull()

    private fun encode(r: ProgressRecord): ByteArray =
        documentJson.encodeToString(ProgressRecord.serializer(), r).encodeToByteArray()

    private companion object {
        /** Delay before the first retry of a write; it doubles up to [MAX_RETRY_MILLIS]. */
        const val INITIAL_RETRY_MILLIS = 20L
        const val MAX_RETRY_MILLIS = 200L

        /** Entries notify the owner of new jobs, so that the watch only finds those whose message was lost. */
        const val WATCH_MILLIS = 2_000L

        /** Each job has three keys and a condition, and a transaction has at most 32 entries. */
        const val JOBS_PER_DELETE = 7
    }
}

/** [revision] of a commit, and the [missing] jobs, of which nothing was written. */
internal class CommitResult(val revision: Long, val missing: Set<String>)

/** The record of a job with its store [revision]. */
internal data class StoredRecord(val record: JobRecord, val revision: Long)

/** Changes of a shard's inbox up to [revision]: new jobs and cancellations, and the withdrawn ids if these changed. */
internal class InboxChange(
    val jobs: List<StoredRecord>,
    val cancelled: List<String>,
    val withdrawn: Set<String>?,
    val revision: Long,
)
