package org.camphorhall.scheduler.owner

import arrow.core.Either
import arrow.core.left
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import org.camphorhall.core.jobs.JobClass
import org.camphorhall.core.jobs.JobPhase
import org.camphorhall.core.jobs.JobRecord
import org.camphorhall.core.jobs.JobShardSettings
import org.camphorhall.core.jobs.JobSpec
import org.camphorhall.core.jobs.StepSpec
import org.camphorhall.core.model.Resources
import org.camphorhall.platform.store.StoreChanges
import org.camphorhall.platform.store.StoreError
import org.camphorhall.platform.store.TransactionalStore
import org.camphorhall.scheduler.protocol.OwnerRequest
import org.camphorhall.scheduler.protocol.OwnerResponse
import org.camphorhall.scheduler.support.JobRecordStore
import org.camphorhall.scheduler.support.ShardKeys
import org.camphorhall.scheduler.support.SystemClock
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** An owner that is notified of nothing and whose watches fail. */
internal class InboxWatchTest {
    private class FailingWatches(
        private val store: TransactionalStore,
        private val error: StoreError,
    ) : TransactionalStore by store {
        override suspend fun watch(prefix: String, after: Long, wait: Duration): Either<StoreError, StoreChanges> =
            error.left()
    }

    private val errors = listOf(
        StoreError.HistoryLost,
        StoreError.Uncertain("no response in time"),
        StoreError.Unavailable("connection refused"),
    )
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)

    @AfterEach
    fun close() = scope.cancel()

    /** Guards against jobs that never start, and tasks of cancelled jobs that never stop, after a watch was cut. */
    @Test
    fun `jobs and cancellations are found while every watch fails`(): Unit = runBlocking {
        for (error in errors) {
            val store = InMemoryTransactionalStore()
            val writer = JobRecordStore(store, shards = 1)
            val shard = loadedOwner(FailingWatches(store, error))
            writer.store(job)
            expectThat(reaches(shard, JobPhase.Queued)).describedAs("job after $error").isTrue()
            writer.storeCancellation(job.id)
            expectThat(reaches(shard, JobPhase.Cancelled)).describedAs("cancellation after $error").isTrue()
        }
    }

    private suspend fun loadedOwner(store: TransactionalStore): ShardOwner {
        val keys = ShardKeys(0)
        val ownership = Ownership(store, keys, "owner", "127.0.0.1:1", SystemClock).also { it.tryAcquire() }
        val shard = ShardOwner(ownership, ShardStore(store, keys), JobShardSettings(), SystemClock)
        scope.launch { shard.run(graceMillis = 0) }
        shard.handleRequest(OwnerRequest.CountPending("class"))
        return shard
    }

    private suspend fun reaches(shard: ShardOwner, phase: JobPhase): Boolean = withTimeoutOrNull(TIMEOUT) {
        val request = OwnerRequest.GetPhase(job.id)
        while ((shard.handleRequest(request) as? OwnerResponse.Phase)?.phase != phase) delay(POLL_INTERVAL)
    } != null

    private companion object {
        val TIMEOUT = 10.seconds
        val POLL_INTERVAL = 20.milliseconds
        val job = JobRecord(
            "00000000000000aa",
            JobSpec("payload", listOf(StepSpec(1, Resources(1_000, 100)))),
            JobClass("class", "service", 0, maxAttempts = 2, 1.5, 250, 3_000),
            acceptedAtMillis = 0,
        )
    }
}
