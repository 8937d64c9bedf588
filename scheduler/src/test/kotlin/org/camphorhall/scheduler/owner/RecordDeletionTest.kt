package org.camphorhall.scheduler.owner

import arrow.core.Either
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.async
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.camphorhall.core.jobs.JobClass
import org.camphorhall.core.jobs.JobPhase
import org.camphorhall.core.jobs.JobRecord
import org.camphorhall.core.jobs.JobShardSettings
import org.camphorhall.core.jobs.JobSpec
import org.camphorhall.core.jobs.ProgressRecord
import org.camphorhall.core.jobs.StepSpec
import org.camphorhall.core.model.Resources
import org.camphorhall.platform.store.StoreError
import org.camphorhall.platform.store.StoreTransaction
import org.camphorhall.platform.store.TransactionalStore
import org.camphorhall.scheduler.protocol.OwnerRequest
import org.camphorhall.scheduler.protocol.OwnerResponse
import org.camphorhall.scheduler.protocol.documentJson
import org.camphorhall.scheduler.support.JobRecordStore
import org.camphorhall.scheduler.support.ShardKeys
import org.camphorhall.scheduler.support.SystemClock
import org.camphorhall.scheduler.support.WriteResult
import org.camphorhall.scheduler.support.toFence
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal class RecordDeletionTest {
    /** Does not answer deletions until [answer] completes. */
    private class SlowDeletions(
        private val store: TransactionalStore,
        val begun: CompletableDeferred<Unit> = CompletableDeferred(),
        val answer: CompletableDeferred<Unit> = CompletableDeferred(),
    ) : TransactionalStore by store {
        override suspend fun commit(transaction: StoreTransaction): Either<StoreError, Long> {
            if (transaction.deletes.isNotEmpty()) {
                begun.complete(Unit)
                answer.await()
            }
            return store.commit(transaction)
        }
    }

    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val keys = ShardKeys(0)
    private val store = SlowDeletions(InMemoryTransactionalStore())

    @AfterEach
    fun close() = scope.cancel()

    /**
     * Guards against workers whose leases lapse because their owner waits for the store to delete finished jobs. All
     * jobs that a new owner loads as finished expire at the same moment.
     */
    @Test
    fun `an owner works on while the store does not answer its deletions`(): Unit = runBlocking {
        storeFinishedJobs(count = 25)
        val ownership = Ownership(store, keys, "owner", "127.0.0.1:1", SystemClock).also { it.tryAcquire() }
        val settings = JobShardSettings(retentionMillis = 0)
        val shard = ShardOwner(ownership, ShardStore(store, keys), settings, SystemClock)
        scope.launch { shard.run(graceMillis = 0) }
        withTimeout(TIMEOUT) { store.begun.await() }
        expectThat(shard.handleRequest(OwnerRequest.CountPending("class"))).isA<OwnerResponse.PendingCount>()
        store.answer.complete(Unit)
        val prefixes = listOf(keys.inboxPrefix, keys.progressPrefix)
        withTimeout(TIMEOUT) { while (prefixes.any { listed(it).isNotEmpty() }) delay(POLL_INTERVAL) }
        expectThat(prefixes.flatMap { listed(it) }).isEmpty()
    }

    private class LateCase(
        /** Whether the job is submitted again before the late deletion is carried out. */
        val isSubmittedAgain: Boolean,
        val isStored: Boolean,
    )

    private val lateCases = mapOf(
        "the records are left" to LateCase(isSubmittedAgain = false, isStored = false),
        "the job was stored again" to LateCase(isSubmittedAgain = true, isStored = true),
    )

    /** Guards against an accepted job that is lost, because a deletion without a response is carried out late. */
    @Test
    fun `a late deletion spares a later job with the same id`(): Unit = runBlocking {
        for ((name, case) in lateCases) {
            val memory = InMemoryTransactionalStore()
            val late = LateWrites(memory)
            val records = ShardStore(late, keys)
            val ownership = Ownership(memory, keys, "owner", "127.0.0.1:1", SystemClock).also { it.tryAcquire() }
            val writer = JobRecordStore(memory, shards = 1)
            writer.store(job(1))
            val revisions = records.revisions()
            late.isLate = { late.pendingCount == 0 && it.deletes.isNotEmpty() }
            val deleted = mutableListOf<String>()
            expectThat(records.delete(revisions, ownership.epochRevision) { deleted += it }).describedAs(name).isTrue()
            expectThat(deleted).describedAs(name).containsExactly(job(1).id)
            if (case.isSubmittedAgain) writer.store(job(1))
            late.carryOut()
            expectThat(memory.get(keys.job(job(1).id)).getOrNull() != null).describedAs(name).isEqualTo(case.isStored)
        }
    }

    /** Guards against an owner that waits for ever, or gives its shard up, when a deletion was carried out unseen. */
    @Test
    fun `a deletion whose response was lost counts as done`(): Unit = runBlocking {
        val late = LateWrites(store)
        val records = ShardStore(late, keys)
        val ownership = Ownership(store, keys, "owner", "127.0.0.1:1", SystemClock).also { it.tryAcquire() }
        val writer = JobRecordStore(store, shards = 1)
        store.answer.complete(Unit)
        repeat(9) { writer.store(job(it)) }
        val revisions = records.revisions()
        late.isLate = { t -> late.pendingCount == 0 && t.deletes.isNotEmpty() }
        val deletion = async { records.delete(revisions, ownership.epochRevision) }
        withTimeout(TIMEOUT) { while (late.pendingCount == 0) delay(1.milliseconds) }
        late.carryOut()
        expectThat(withTimeout(TIMEOUT) { deletion.await() }).isTrue()
        expectThat(listed(keys.inboxPrefix)).isEmpty()
    }

    /** Guards against a fence that names withdrawn jobs for ever, until it has room for no more. */
    @Test
    fun `an owner lets the fence forget withdrawn jobs after their retention`(): Unit = runBlocking {
        val records = JobRecordStore(store, shards = 1)
        val ownership = Ownership(store, keys, "owner", "127.0.0.1:1", SystemClock).also { it.tryAcquire() }
        expectThat(records.storeCancellation("before the load")).isEqualTo(WriteResult.NoSuchJob)
        val settings = JobShardSettings(retentionMillis = 0, cleanupIntervalMillis = 0)
        val shard = ShardOwner(ownership, ShardStore(store, keys), settings, SystemClock)
        scope.launch { shard.run(graceMillis = 0) }
        awaitWithdrawn { it.isEmpty() }
        val forgottenAt = store.get(keys.fence).getOrNull().toFence().revision
        expectThat(records.storeCancellation("after the load")).isEqualTo(WriteResult.NoSuchJob)
        awaitWithdrawn { it.isEmpty() }
        expectThat(store.get(keys.fence).getOrNull().toFence().revision).isGreaterThan(forgottenAt)
    }

    private suspend fun ShardStore.revisions(): Map<String, Long> =
        checkNotNull(load().getOrNull()).jobs.associate { it.record.id to it.recordRevision }

    private suspend fun awaitWithdrawn(isReached: (Set<String>) -> Boolean) = withTimeout(TIMEOUT) {
        while (!isReached(store.get(keys.fence).getOrNull().toFence().fence.withdrawn)) delay(POLL_INTERVAL)
    }

    private suspend fun listed(prefix: String): List<String> =
        checkNotNull(store.list(prefix).getOrNull()).items.map { it.key } - keys.fence

    private fun job(n: Int) = JobRecord(
        "%016x".format(n),
        JobSpec("payload", listOf(StepSpec(1, Resources(1_000, 100)))),
        JobClass("class", "service", 0, maxAttempts = 2, 1.5, 250, 3_000),
        acceptedAtMillis = 0,
    )

    private suspend fun storeFinishedJobs(count: Int) = repeat(count) { n ->
        val job = job(n)
        val progress = documentJson.encodeToString(ProgressRecord.serializer(), ProgressRecord(JobPhase.Completed))
        val record = documentJson.encodeToString(JobRecord.serializer(), job)
        store.put(keys.job(job.id), record.encodeToByteArray(), 0)
        store.put(keys.progress(job.id), progress.encodeToByteArray(), 0)
    }

    private companion object {
        val TIMEOUT = 10.seconds
        val POLL_INTERVAL = 20.milliseconds
    }
}
