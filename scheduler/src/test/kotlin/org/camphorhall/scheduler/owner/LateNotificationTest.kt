package org.camphorhall.scheduler.owner

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import org.camphorhall.core.jobs.JobClass
import org.camphorhall.core.jobs.JobRecord
import org.camphorhall.core.jobs.JobShardSettings
import org.camphorhall.core.jobs.JobSpec
import org.camphorhall.core.jobs.StepSpec
import org.camphorhall.core.jobs.WorkerKey
import org.camphorhall.core.jobs.WorkerProfile
import org.camphorhall.core.jobs.WorkerReport
import org.camphorhall.core.model.Resources
import org.camphorhall.platform.store.StoreTransaction
import org.camphorhall.scheduler.agent.FencingTokens
import org.camphorhall.scheduler.agent.OwnerLink
import org.camphorhall.scheduler.agent.WorkerLink
import org.camphorhall.scheduler.peer.PeerServer
import org.camphorhall.scheduler.peer.PeerSockets
import org.camphorhall.scheduler.protocol.OwnerRequest
import org.camphorhall.scheduler.singlerun.RunHistory
import org.camphorhall.scheduler.singlerun.SimulatedWorker
import org.camphorhall.scheduler.support.JobRecordStore
import org.camphorhall.scheduler.support.ShardKeys
import org.camphorhall.scheduler.support.SystemClock
import org.camphorhall.scheduler.support.WriteResult
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.net.InetAddress
import java.net.ServerSocket
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Notifications of jobs that were held up on their way to the owner. */
internal class LateNotificationTest {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val sockets = PeerSockets()
    private val address = "127.0.0.1:" + ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { it.localPort }
    private val store = InMemoryTransactionalStore()
    private val keys = ShardKeys(0)
    private val history = RunHistory()

    @AfterEach
    fun close() {
        scope.cancel()
        sockets.close()
    }

    private class Case(val isDeleted: Boolean, val isStoredAgain: Boolean, val runs: Int)

    private val cases = mapOf(
        "the record is there" to Case(isDeleted = false, isStoredAgain = false, runs = 1),
        "the record was deleted" to Case(isDeleted = true, isStoredAgain = false, runs = 0),
        "another job was stored under the id" to Case(isDeleted = true, isStoredAgain = true, runs = 1),
    )

    /** Guards against a job that runs again because its owner learns of it after its records were deleted. */
    @Test
    fun `a job whose record is gone does not start`(): Unit = runBlocking {
        val shard = loadedOwner()
        val records = JobRecordStore(store, shards = 1)
        for ((i, case) in cases.values.withIndex()) {
            val job = job(i)
            val created = records.store(job, 0) as WriteResult.Created
            if (case.isDeleted) store.commit(StoreTransaction(deletes = listOf(keys.job(job.id))))
            if (case.isStoredAgain) records.store(job, 0)
            shard.handleRequest(OwnerRequest.JobStored(job, created.revision))
        }
        withTimeoutOrNull(TIMEOUT) { while (history.runs.size < cases.values.sumOf { it.runs }) delay(POLL_INTERVAL) }
        delay(SETTLING)
        for ((i, entry) in cases.entries.withIndex()) {
            val runs = history.runs.count { it.task.job == job(i).id }
            expectThat(runs).describedAs(entry.key).isEqualTo(entry.value.runs)
        }
    }

    private suspend fun loadedOwner(): ShardOwner {
        val ownership = Ownership(store, keys, "owner", address, SystemClock).also { it.tryAcquire() }
        val shard = ShardOwner(ownership, ShardStore(store, keys), JobShardSettings(), SystemClock)
        val service = SchedulerService(JobRecordStore(store, 1), { shard }, { null })
        PeerServer(address, sockets, scope, SystemClock, service::serve).start()
        scope.launch { shard.run(graceMillis = 0) }
        val key = WorkerKey("instance", "worker", 1)
        val profile = WorkerProfile(key, "service", "zone", Resources(4_000, 4_000), listOf("a", "rack"))
        val link = WorkerLink(profile, SimulatedWorker("worker", history), FencingTokens(1_000), SystemClock)
        val record = ShardOwnerRecord(ownership.epoch, "owner", address)
        scope.launch { link.run() }
        scope.launch { OwnerLink(link, sockets, SystemClock, { record }, {}).run() }
        return shard
    }

    private fun job(n: Int) = JobRecord(
        "%016x".format(n),
        JobSpec("payload", listOf(StepSpec(1, Resources(1_000, 100), 1_000, longRunning = true))),
        JobClass("class", "service", 0, maxAttempts = 2, 1.5, 250, 3_000),
        acceptedAtMillis = 0,
    )

    private companion object {
        val TIMEOUT = 10.seconds
        val POLL_INTERVAL = 20.milliseconds

        /** Time in which a start would follow. */
        val SETTLING = 1_000.milliseconds
    }
}
