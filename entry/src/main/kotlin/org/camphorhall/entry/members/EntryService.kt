package org.camphorhall.entry.members

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.camphorhall.core.model.MonotonicInstant
import org.camphorhall.core.model.WorkerId
import org.camphorhall.entry.shard.ShardAnswer
import org.camphorhall.entry.shard.ShardClient
import org.camphorhall.entry.shard.ShardRequest
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

/** gRPC service of the entry. */
internal class EntryService(
    private val self: String,
    private val watch: ClusterWatch,
    private val shards: ShardSet,
    private val members: Members,
    private val exchange: PeerExchange,
    private val push: ConfigPush,
    private val channels: PeerChannels,
    private val scope: CoroutineScope,
    private val clock: () -> MonotonicInstant,
    private val summary: (theirVersion: Long) -> DomainSummary,
) : EntryGrpcKt.EntryCoroutineImplBase() {
    override suspend fun heartbeat(request: HeartbeatRequest): HeartbeatReply {
        val state = watch.state
        val worker = WorkerId(request.worker)
        val info = request.toWorkerInfo(clock())
        channels.resetBackoff(request.address)
        if (request.inventoryRead) members.put(info)
        members.noteConfig(worker, request.configVersion)
        if (request.configVersion > state.config.version) scope.launch { push.fetch(info, state) }
        val reply = HeartbeatReply.newBuilder().setEntry(self).setSentNanos(request.sentNanos)
        for (s in request.shardsList) answerShard(request, worker, s, state, reply)
        if (request.configVersion < state.config.version) {
            reply.setConfig(state.config.updateSince(request.configVersion).toMessage())
        }
        reply.addAllEntries(contactsOf(request.failureDomain, state))
        return reply.build()
    }

    /** Returns the entries that an agent may turn to: those of its failure domain, and a few others as a reserve. */
    private fun contactsOf(failureDomain: String, state: ClusterState): List<EntryAddress> {
        val (near, far) = state.entries.values.partition { it.failureDomain == failureDomain }
        return (near.take(MAX_NEAR) + far.sortedBy { it.id }.take(MAX_FAR)).map { e ->
            EntryAddress.newBuilder().setId(e.id).setAddress(e.address).setFailureDomain(e.failureDomain).build()
        }
    }

    private suspend fun answerShard(
        request: HeartbeatRequest,
        worker: WorkerId,
        s: ShardRenewal,
        state: ClusterState,
        reply: HeartbeatReply.Builder,
    ) {
        val host = shards.host(s.shard)
        if (host == null) {
            state.owners[s.shard]?.let { reply.putOwners(s.shard, it.record.address) }
            return
        }
        state.entries[self]?.let { reply.putOwners(s.shard, it.address) }
        val reports = request.attemptsList.filter { it.shard == s.shard }.map { it.toModel() }
        val part = withTimeoutOrNull(PART_LIMIT) { host.heartbeat(worker, s.epoch, reports) } ?: return
        if (part.renew) reply.addRenewals(ShardRenewal.newBuilder().setShard(s.shard).setEpoch(part.epoch))
        reply.addAllAcknowledged(part.acknowledged.map { it.toMessage() })
        reply.addAllStop(part.stops.map { it.toMessage() })
    }

    override suspend fun exchange(request: DomainSummary): DomainSummary {
        exchange.accept(request)
        return summary(request.configVersion)
    }

    override suspend fun forward(request: ShardCommand): ShardReply {
        val host = shards.host(request.shard)
        if (host == null || !host.open) return ShardReply.newBuilder().setOwner(false).build()
        val command = ShardClient.json.decodeFromString(ShardRequest.serializer(), request.command)
        val answer = ShardClient.json.encodeToString(ShardAnswer.serializer(), host.handle(command))
        return ShardReply.newBuilder().setOwner(true).setAnswer(answer).build()
    }

    private companion object {
        /** A shard that is slow must not hold up the heartbeat for the others. */
        val PART_LIMIT = 500.milliseconds

        /** Bounds on the entries in each answer; all 80 of a large deployment would take 14 KB/s of each agent. */
        const val MAX_NEAR = 6
        const val MAX_FAR = 2
    }
}
