package org.camphorhall.scheduler.owner

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import kotlinx.coroutines.withTimeoutOrNull
import org.camphorhall.core.jobs.JobShardSettings
import org.camphorhall.core.jobs.WorkerKey
import org.camphorhall.core.jobs.WorkerProfile
import org.camphorhall.core.jobs.WorkerReport
import org.camphorhall.core.model.Resources
import org.camphorhall.scheduler.peer.PeerConnection
import org.camphorhall.scheduler.peer.PeerFrame
import org.camphorhall.scheduler.peer.PeerServer
import org.camphorhall.scheduler.peer.PeerSockets
import org.camphorhall.scheduler.protocol.AgentMessage
import org.camphorhall.scheduler.protocol.OwnerMessage
import org.camphorhall.scheduler.protocol.OwnerRequest
import org.camphorhall.scheduler.protocol.OwnerResponse
import org.camphorhall.scheduler.support.JobRecordStore
import org.camphorhall.scheduler.support.OwnerClient
import org.camphorhall.scheduler.support.ShardKeys
import org.camphorhall.scheduler.support.SystemClock
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import kotlin.time.Duration.Companion.seconds

internal class SchedulerServiceTest {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val sockets = PeerSockets()
    private val address = "127.0.0.1:" + ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { it.localPort }
    private val store = InMemoryTransactionalStore()
    private val keys = ShardKeys(0)
    private val client = OwnerClient(sockets, scope)
    private val successor = ShardOwnerRecord(2, "successor", "127.0.0.1:1")
    private val profile =
        WorkerProfile(WorkerKey("instance-1", "i-1", 1), "service-1", "zone-1", Resources(1_000, 1_000, 0))
    private val report = AgentMessage(1, WorkerReport(profile))

    @Volatile
    private var owner: ShardOwner? = null

    @Volatile
    private var otherOwner: ShardOwnerRecord? = null
    private val service = SchedulerService(JobRecordStore(store, 1), { owner }, { otherOwner })
    private val server = PeerServer(address, sockets, scope, SystemClock, service::serve)

    @AfterEach
    fun close() {
        server.close()
        scope.cancel()
        sockets.close()
    }

    /** Passes the frames of [connection] to [onFrame] until the connection ends, for example by [close]. */
    private fun launchReading(connection: PeerConnection, onFrame: suspend (PeerFrame) -> Unit): Job = scope.launch {
        try {
            connection.run(onFrame)
        } catch (_: IOException) {
            // Left uncaught, it would fail the next test of this process that calls runTest.
        }
    }

    /** Attaches an agent; the result is the first owner that it is told of, or null if the connection ends without. */
    private suspend fun attachedUntilNewOwner(onAttached: suspend () -> Unit = {}): ShardOwnerRecord? {
        val told = CompletableDeferred<ShardOwnerRecord?>()
        val connection = sockets.open(address)
        val reading = launchReading(connection) { frame ->
            if (frame is PeerFrame.NewOwner) told.complete(frame.owner)
            if (frame is PeerFrame.FromOwner) onAttached()
        }
        reading.invokeOnCompletion { told.complete(null) }
        connection.send(PeerFrame.FromAgent(report))
        return withTimeoutOrNull(5.seconds) { told.await() }
    }

    /** Guards against agents that go on reporting to a shard that was replaced before it was loaded. */
    @Test
    fun `agents that attached while the shard was loaded are told its successor`(): Unit = runBlocking {
        val ownership = Ownership(store, keys, "owner", address, SystemClock).also { it.tryAcquire() }
        val loading = ShardOwner(ownership, ShardStore(store, keys), JobShardSettings(), SystemClock)
        owner = loading
        server.start()
        val told = CompletableDeferred<ShardOwnerRecord?>()
        val connection = sockets.open(address)
        val responded = CompletableDeferred<Unit>()
        val reading = launchReading(connection) {
            if (it is PeerFrame.NewOwner) told.complete(it.owner)
            if (it is PeerFrame.Response) responded.complete(Unit)
        }
        reading.invokeOnCompletion { told.complete(null) }
        connection.send(PeerFrame.FromAgent(report))
        // Frames of a connection are handled in order, so the report was received before this request is responded to.
        connection.send(PeerFrame.Request(1, OwnerRequest.StoreCancellation("none")))
        withTimeout(5.seconds) { responded.await() }
        loading.close()
        owner = null
        otherOwner = successor
        connection.send(PeerFrame.FromAgent(report))
        expectThat(withTimeoutOrNull(5.seconds) { told.await() }).isEqualTo(successor)
    }

    /** Guards against workers without an owner for as long as their agents poll the store for the new one. */
    @Test
    fun `agents of a replaced owner are told its successor`(): Unit = runBlocking {
        val ownership = Ownership(store, keys, "owner", address, SystemClock).also { it.tryAcquire() }
        val shard = ShardOwner(ownership, ShardStore(store, keys), JobShardSettings(), SystemClock)
        owner = shard
        server.start()
        scope.launch {
            shard.run(graceMillis = 0)
            shard.close()
        }
        val told = attachedUntilNewOwner {
            client.send(address, OwnerRequest.Resign(successor.epoch, successor), 1.seconds)
        }
        expectThat(told).isEqualTo(successor)
    }

    /** Guards against agents and entries that wait for their next lookup although another process knows the owner. */
    @Test
    fun `a process that is not the owner names the one that it knows`(): Unit = runBlocking {
        server.start()
        expectThat(attachedUntilNewOwner()).isEqualTo(null)
        otherOwner = successor
        expectThat(attachedUntilNewOwner()).isEqualTo(successor)
        val response = client.send(address, OwnerRequest.CountPending("a"), 1.seconds).getOrNull()
        expectThat(response).isA<OwnerResponse.Moved>().get { owner }.isEqualTo(successor)
    }

    /** Guards against a list that was made before the agent rejected the commands of earlier owners. */
    @Test
    fun `a report counts once its agent knows the epoch of the owner`(): Unit = runBlocking {
        val ownership = Ownership(store, keys, "owner", address, SystemClock).also { it.tryAcquire() }
        val shard = ShardOwner(ownership, ShardStore(store, keys), JobShardSettings(), SystemClock)
        owner = shard
        server.start()
        scope.launch { shard.run(graceMillis = 0) }
        val messages = Channel<OwnerMessage>(Channel.UNLIMITED)
        val connection = sockets.open(address)
        launchReading(connection) { if (it is PeerFrame.FromOwner) messages.send(it.message) }
        val leases = listOf(0L, 2L, 1L).map { epoch ->
            connection.send(PeerFrame.FromAgent(AgentMessage(1, report.report, epoch)))
            withTimeout(5.seconds) { messages.receive() }.also { expectThat(it.epoch).isEqualTo(1) }.leaseMillis
        }
        expectThat(leases).containsExactly(0, 0, JobShardSettings().leaseMillis)
    }
}
