package org.camphorhall.entry.members

import io.grpc.StatusException
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.sync.withPermit
import org.camphorhall.core.config.Configuration
import org.camphorhall.core.routing.WorkerInfo
import org.camphorhall.entry.store.ClusterState
import org.camphorhall.entry.store.ClusterWatch
import org.camphorhall.wire.PeerChannels
import org.camphorhall.wire.proto.AgentGrpcKt
import org.camphorhall.wire.toMessage
import org.camphorhall.wire.toModel
import java.util.concurrent.TimeUnit

/** Pushes a new configuration to the agents of the failure domain without waiting for their heartbeats. */
internal class ConfigPush(
    private val self: String,
    private val failureDomain: String,
    private val watch: ClusterWatch,
    private val workerRegistry: WorkerRegistry,
    private val channels: PeerChannels,
) {
    private val callPermits = Semaphore(MAX_CONCURRENT_CALLS)

    /** Pushes the current configuration. Each agent gets it from one entry; heartbeats are the fallback. */
    suspend fun push(): Unit = coroutineScope {
        val state = watch.state
        val peers = state.entries.values.filter { it.failureDomain == failureDomain }.map { it.id }.sorted()
        val own = workerRegistry.snapshot().workers.values.filter { it.failureDomain == failureDomain }
        own.filter { isAssignedToSelf(it, peers) && workerRegistry.configVersion(it.id) < state.config.version }
            .map { w -> async { callPermits.withPermit { offer(w, state.config) } } }
            .awaitAll()
    }

    private fun isAssignedToSelf(w: WorkerInfo, peers: List<String>): Boolean =
        peers.isEmpty() || peers[Math.floorMod(w.id.value.hashCode(), peers.size)] == self

    private suspend fun offer(w: WorkerInfo, config: Configuration) {
        val update = config.updateSince(workerRegistry.configVersion(w.id)).toMessage()
        try {
            val response = stub(w).offerConfig(update)
            workerRegistry.recordConfigVersion(w.id, maxOf(response.version, config.version))
        } catch (e: StatusException) {
            // The response to the agent's next heartbeat contains the configuration.
        }
    }

    /** Fetches a newer configuration from an agent, for example after a start of the entry during a store outage. */
    suspend fun fetch(w: WorkerInfo, state: ClusterState) {
        try {
            val response = stub(w).offerConfig(Configuration(state.config.version).updateSince(0).toMessage())
            if (response.hasNewer()) watch.applyConfig(response.newer.toModel())
        } catch (e: StatusException) {
            // The next heartbeat tries again.
        }
    }

    private fun stub(w: WorkerInfo) =
        AgentGrpcKt.AgentCoroutineStub(channels.get(w.address))
            .withDeadlineAfter(CALL_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)

    private companion object {
        const val MAX_CONCURRENT_CALLS = 64
        const val CALL_TIMEOUT_MILLIS = 1_000L
    }
}
