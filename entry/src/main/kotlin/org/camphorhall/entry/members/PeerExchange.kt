package org.camphorhall.entry.members

import io.grpc.StatusException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.camphorhall.core.model.MonotonicInstant
import org.camphorhall.core.model.TenantName
import org.camphorhall.entry.store.ClusterState
import org.camphorhall.entry.store.ClusterWatch
import org.camphorhall.entry.store.EntryRecord
import org.camphorhall.wire.PeerChannels
import org.camphorhall.wire.proto.DomainSummary
import org.camphorhall.wire.proto.EntryGrpcKt
import org.camphorhall.wire.toModel
import org.camphorhall.wire.toWorkerInfo
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.seconds

/** Exchanges domain summaries with other entries every second. */
internal class PeerExchange(
    private val self: String,
    private val watch: ClusterWatch,
    private val workerRegistry: WorkerRegistry,
    private val channels: PeerChannels,
    private val clock: () -> MonotonicInstant,
    private val summary: (peerConfigVersion: Long) -> DomainSummary,
) {
    private val peerConfigVersions = ConcurrentHashMap<String, Long>()

    suspend fun run(scope: CoroutineScope) {
        while (true) {
            val state: ClusterState = watch.state
            workerRegistry.retainEntries(state.entries.keys)
            workerRegistry.removeExpired()
            val workers = workerRegistry.snapshot().workers.values.map { it.address }
            channels.retain((workers + state.entries.values.map { it.address }).toSet())
            for (peer in selectPeers(state)) scope.launch { exchange(peer.id, peer.address) }
            delay(EXCHANGE_INTERVAL)
        }
    }

    /**
     * Returns all peers in a small deployment; otherwise up to 8 of the own failure domain and a random one of each
     * other domain.
     */
    private fun selectPeers(state: ClusterState): List<EntryRecord> {
        val peers = state.entries.values.filter { it.id != self }
        if (peers.size <= FULL_MESH_MAX_PEERS) return peers
        val own = state.entries[self]?.failureDomain
        val (sameDomain, otherDomains) = peers.partition { it.failureDomain == own }
        return sameDomain.take(FULL_MESH_MAX_PEERS) +
            otherDomains.groupBy { it.failureDomain }.map { it.value.random() }
    }

    private suspend fun exchange(id: String, address: String) {
        val channel = channels.get(address)
        try {
            val response = EntryGrpcKt.EntryCoroutineStub(channel)
                .withDeadlineAfter(CALL_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .exchange(summary(peerConfigVersions[id] ?: watch.state.config.version))
            accept(response)
        } catch (e: StatusException) {
            channels.replaceOnTimeout(address, channel, e.status)
            peerConfigVersions.remove(id)
        }
    }

    /** Applies the summary of another entry. */
    fun accept(s: DomainSummary) {
        val now = clock()
        peerConfigVersions[s.entry] = s.configVersion
        s.candidatesList.forEach { workerRegistry.put(it.toWorkerInfo(now)) }
        workerRegistry.setRemoteUsage(
            s.entry,
            s.tenantUsageMap.entries.associate { TenantName(it.key) to it.value.toModel() },
        )
        if (s.hasConfig()) watch.applyConfig(s.config.toModel())
    }

    private companion object {
        val EXCHANGE_INTERVAL = 1.seconds
        const val CALL_TIMEOUT_MILLIS = 1_000L

        /** Number of peers up to which an entry exchanges summaries with all of them each second. */
        const val FULL_MESH_MAX_PEERS = 8
    }
}
