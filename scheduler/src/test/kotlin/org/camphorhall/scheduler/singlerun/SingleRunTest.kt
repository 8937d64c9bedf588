package org.camphorhall.scheduler.singlerun

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.camphorhall.core.jobs.JobClass
import org.camphorhall.core.jobs.JobRecord
import org.camphorhall.core.jobs.JobShardSettings
import org.camphorhall.core.jobs.JobSpec
import org.camphorhall.core.jobs.StepSpec
import org.camphorhall.core.jobs.TaskRef
import org.camphorhall.core.jobs.WorkerKey
import org.camphorhall.core.jobs.WorkerProfile
import org.camphorhall.core.model.Resources
import org.camphorhall.scheduler.agent.FencingTokens
import org.camphorhall.scheduler.agent.OwnerLink
import org.camphorhall.scheduler.agent.WorkerLink
import org.camphorhall.scheduler.owner.InMemoryTransactionalStore
import org.camphorhall.scheduler.owner.OwnerEvent
import org.camphorhall.scheduler.owner.Ownership
import org.camphorhall.scheduler.owner.SchedulerService
import org.camphorhall.scheduler.owner.ShardOwner
import org.camphorhall.scheduler.owner.ShardOwnerRecord
import org.camphorhall.scheduler.owner.ShardStore
import org.camphorhall.scheduler.owner.StoredRecord
import org.camphorhall.scheduler.peer.PeerServer
import org.camphorhall.scheduler.peer.PeerSockets
import org.camphorhall.scheduler.support.JobRecordStore
import org.camphorhall.scheduler.support.ShardKeys
import org.camphorhall.scheduler.support.SystemClock
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import java.net.InetAddress
import java.net.ServerSocket
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Runs the owner of a shard and the agents of simulated workers, which record every run. */
internal class SingleRunTest {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val sockets = PeerSockets()
    private val port = ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { it.localPort }
    private val address = "127.0.0.1:$port"
    private val store = InMemoryTransactionalStore()
    private val keys = ShardKeys(0)
    private val ownership = Ownership(store, keys, "owner", address, SystemClock)
    private val shard by lazy { ShardOwner(ownership, ShardStore(store, keys), JobShardSettings(), SystemClock) }
    private val service = SchedulerService(JobRecordStore(store, 1), { shard }, { null })
    private val server = PeerServer(address, sockets, scope, SystemClock, service::serve)
    private val history = RunHistory()
    private val task = TaskRef("00000000000000aa", 0, 0, 0)
    private val job = JobRecord(
        task.job,
        JobSpec("payload", listOf(StepSpec(1, Resources(1_000, 100), 1_000, longRunning = true))),
        JobClass("class", "service", 0, maxAttempts = 2, 1.5, 250, 3_000),
        acceptedAtMillis = 0,
    )

    @AfterEach
    fun close() {
        server.close()
        scope.cancel()
        sockets.close()
    }

    private suspend fun startOwner() {
        ownership.tryAcquire()
        server.start()
        scope.launch { shard.run(graceMillis = 0) }
        scope.launch {
            while (true) {
                ownership.renew()
                delay(500.milliseconds)
            }
        }
    }

    private fun startAgent(name: String, ownerAddress: String = address): SimulatedWorker {
        val worker = SimulatedWorker(name, history)
        val key = WorkerKey("instance-$name", name, 1)
        val profile = WorkerProfile(key, "service", "zone", Resources(4_000, 4_000), listOf("a", "rack"))
        val link = WorkerLink(profile, worker, FencingTokens(1_000), SystemClock)
        val record = ShardOwnerRecord(ownership.epoch, "owner", ownerAddress)
        scope.launch { link.run() }
        scope.launch { OwnerLink(link, sockets, SystemClock, { record }, {}).run() }
        return worker
    }

    private suspend fun awaitRuns(count: Int) = withTimeout(20.seconds) {
        while (history.runsOf(task).size < count) delay(10.milliseconds)
    }

    private fun expectSingleRunAfter(mode: SimulatedWorker.Mode): Unit = runBlocking {
        startOwner()
        val worker = startAgent("first")
        shard.send(OwnerEvent.InboxUpdated(listOf(StoredRecord(job, 0)), emptyList()))
        awaitRuns(1)
        startAgent("second")
        delay(1.seconds)
        worker.mode = mode
        awaitRuns(2)
        expectThat(history.overlaps).isEmpty()
        expectThat(history.runs.last().worker).isEqualTo("second")
    }

    /** Guards against a lease that is still granted after the owner has begun to count the worker as lost. */
    @Test
    fun `a task of a worker whose responses are lost starts elsewhere only after it has ended`() {
        expectSingleRunAfter(SimulatedWorker.Mode.Silent)
    }

    /** Guards against refused connections that count as proof that the process of a worker has ended. */
    @Test
    fun `a task of a worker that refuses connections starts elsewhere only after it has ended`() {
        expectSingleRunAfter(SimulatedWorker.Mode.Refusing)
    }

    /** Guards against a report that was held up on an earlier connection and counts as the newest one. */
    @Test
    fun `a report delayed on an earlier connection does not end a run`(): Unit = runBlocking {
        startOwner()
        DelayingRelay(port).use { relay ->
            startAgent("first", relay.address)
            shard.send(OwnerEvent.InboxUpdated(listOf(StoredRecord(job, 0)), emptyList()))
            awaitRuns(1)
            relay.release()
            delay(1.seconds)
            expectThat(history.runs).hasSize(1)
            expectThat(history.overlaps).isEmpty()
        }
    }
}
