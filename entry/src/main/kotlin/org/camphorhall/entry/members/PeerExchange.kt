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

/** Exchanges domain summaries with the other entries every second. */
internal class PeerExchange(
    private val self: String,
    private val watch: ClusterWatch,
    private val members: Members,
    private val channels: PeerChannels,
    private val clock: () -> MonotonicInstant,
    private val summary: (theirVersion: Long) -> DomainSummary,
) {
    private val versions = ConcurrentHashMap<String, Long>()

    suspend fun run(scope: CoroutineScope) {
        while (true) {
            val state: ClusterState = watch.state
            members.retainEntries(state.entries.keys)
            members.expire()
            val workers = members.view().workers.values.map { it.address }
            channels.retain((workers + state.entries.values.map { it.address }).toSet())
            for (peer in peersOfRound(state)) scope.launch { exchange(peer.id, peer.address) }
            delay(PERIOD)
        }
    }

    /** In a small deployment all peers; else those of the own failure domain and one of each other domain. */
    private fun peersOfRound(state: ClusterState): List<EntryRecord> {
        val peers = state.entries.values.filter { it.id != self }
        if (peers.size <= MAX_PEERS) return peers
        val own = state.entries[self]?.failureDomain
        val (near, far) = peers.partition { it.failureDomain == own }
        return near.take(MAX_PEERS) + far.groupBy { it.failureDomain }.map { it.value.random() }
    }

    private suspend fun exchange(id: String, address: String) {
        val channel = channels.get(address)
        try {
            val reply = EntryGrpcKt.EntryCoroutineStub(channel)
                .withDeadlineAfter(CALL_MILLIS, TimeUnit.MILLISECONDS)
                .exchange(summary(versions[id] ?: watch.state.config.version))
            accept(reply)
        } catch (e: StatusException) {
            channels.replaceOnTimeout(address, channel, e.status)
            versions.remove(id)
        }
    }

    /** Takes the summary of another entry. */
    fun accept(s: DomainSummary) {
        val now = clock()
        versions[s.entry] = s.configVersion
        s.candidatesList.forEach { members.put(it.toWorkerInfo(now)) }
        members.setUsage(s.entry, s.tenantUsageMap.entries.associate { TenantName(it.key) to it.value.toModel() })
        if (s.hasConfig()) watch.offerConfig(s.config.toModel())
    }

    private companion object {
        val PERIOD = 1.seconds
        const val CALL_MILLIS = 1_000L

        /** Peers up to which every entry exchanges with every other each second. */
        const val MAX_PEERS = 8
    }
}
