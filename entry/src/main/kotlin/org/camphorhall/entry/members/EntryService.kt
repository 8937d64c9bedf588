package org.camphorhall.entry.members

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.camphorhall.core.model.MonotonicInstant
import org.camphorhall.core.model.WorkerId
import org.camphorhall.entry.shard.ShardClient
import org.camphorhall.entry.shard.ShardRequest
import org.camphorhall.entry.shard.ShardResponse
import org.camphorhall.entry.shard.ShardSet
import org.camphorhall.entry.store.ClusterState
import org.camphorhall.entry.store.ClusterWatch
import org.camphorhall.wire.PeerChannels
import org.camphorhall.wire.proto.DomainSummary
import org.camphorhall.wire.proto.EntryAddress
import org.camphorhall.wire.proto.EntryGrpcKt
import org.camphorhall.wire.proto.HeartbeatReply
import org.camphorhall.wire.proto.HeartbeatRequest
import org.camphorhall.wire.proto.ShardCommand
import org.camphorhall.wire.proto.ShardRenewal
import org.camphorhall.wire.proto.ShardReply
import org.camphorhall.wire.toMessage
import org.camphorhall.wire.toModel
import org.camphorhall.wire.toWorkerInfo
import kotlin.time.Duration.Companion.milliseconds

/** gRPC service for heartbeats of agents, and for summaries and shard requests of other entries. */
internal class EntryService(
    private val self: String,
    private val watch: ClusterWatch,
    private val shards: ShardSet,
    private val workerRegistry: WorkerRegistry,
    private val exchange: PeerExchange,
    private val push: ConfigPush,
    private val channels: PeerChannels,
    private val scope: CoroutineScope,
    private val clock: () -> MonotonicInstant,
    private val summary: (peerConfigVersion: Long) -> DomainSummary,
) : EntryGrpcKt.EntryCoroutineImplBase() {
    override suspend fun heartbeat(request: HeartbeatRequest): HeartbeatReply {
        val state = watch.state
        val worker = WorkerId(request.worker)
        val info = request.toWorkerInfo(clock())
        channels.resetBackoff(request.address)
        if (request.inventoryRead) workerRegistry.put(info)
        workerRegistry.recordConfigVersion(worker, request.configVersion)
        if (request.configVersion > state.config.version) scope.launch { push.fetch(info, state) }
        val response = HeartbeatReply.newBuilder().setEntry(self).setSentNanos(request.sentNanos)
        for (renewal in request.shardsList) addShardResponse(request, worker, renewal, state, response)
        if (request.configVersion < state.config.version) {
            response.setConfig(state.config.updateSince(request.configVersion).toMessage())
        }
        response.addAllEntries(entryAddressesFor(request.failureDomain, state))
        return response.build()
    }

    /** Returns entries that an agent may use: some of its failure domain, and a few of other domains as a fallback. */
    private fun entryAddressesFor(failureDomain: String, state: ClusterState): List<EntryAddress> {
        val (sameDomain, otherDomains) = state.entries.values.partition { it.failureDomain == failureDomain }
        return (sameDomain.take(MAX_SAME_DOMAIN) + otherDomains.sortedBy { it.id }.take(MAX_OTHER_DOMAINS)).map { e ->
            EntryAddress.newBuilder().setId(e.id).setAddress(e.address).setFailureDomain(e.failureDomain).build()
        }
    }

    private suspend fun addShardResponse(
        request: HeartbeatRequest,
        worker: WorkerId,
        renewal: ShardRenewal,
        state: ClusterState,
        response: HeartbeatReply.Builder,
    ) {
        val host = shards.host(renewal.shard)
        if (host == null) {
            state.owners[renewal.shard]?.let { response.putOwners(renewal.shard, it.record.address) }
            return
        }
        state.entries[self]?.let { response.putOwners(renewal.shard, it.address) }
        val reports = request.attemptsList.filter { it.shard == renewal.shard }.map { it.toModel() }
        val shardResponse = withTimeoutOrNull(SHARD_RESPONSE_TIMEOUT) {
            host.heartbeat(worker, request.incarnation, renewal.epoch, reports)
        } ?: return
        if (shardResponse.renew) {
            response.addRenewals(ShardRenewal.newBuilder().setShard(renewal.shard).setEpoch(shardResponse.epoch))
        }
        response.addAllAcknowledged(shardResponse.acknowledged.map { it.toMessage() })
        response.addAllStop(shardResponse.stops.map { it.toMessage() })
    }

    override suspend fun exchange(request: DomainSummary): DomainSummary {
        exchange.accept(request)
        return summary(request.configVersion)
    }

    override suspend fun forward(request: ShardCommand): ShardReply {
        val host = shards.host(request.shard)
        if (host == null || !host.acceptsRequests) return ShardReply.newBuilder().setOwner(false).build()
        val command = ShardClient.json.decodeFromString(ShardRequest.serializer(), request.command)
        val encoded = ShardClient.json.encodeToString(ShardResponse.serializer(), host.handle(command))
        return ShardReply.newBuilder().setOwner(true).setAnswer(encoded).build()
    }

    private companion object {
        /** Response timeout of one shard, so that a slow shard does not delay the heartbeat of the others. */
        val SHARD_RESPONSE_TIMEOUT = 500.milliseconds

        /** Limits the entries in each response; all 80 of a large deployment would cost each agent 14 KB/s. */
        const val MAX_SAME_DOMAIN = 6
        const val MAX_OTHER_DOMAINS = 2
    }
}
