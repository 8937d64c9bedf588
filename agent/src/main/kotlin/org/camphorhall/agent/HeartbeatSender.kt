package org.camphorhall.agent

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import org.camphorhall.core.agent.AgentEvent
import org.camphorhall.core.agent.AgentState
import org.camphorhall.core.model.MonotonicInstant
import org.camphorhall.platform.http.HostAddress
import org.camphorhall.wire.PeerChannels
import org.camphorhall.wire.proto.EntryGrpcKt
import org.camphorhall.wire.proto.HeartbeatReply
import org.camphorhall.wire.proto.HeartbeatRequest
import org.camphorhall.wire.toModel
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit
import kotlin.random.Random
import kotlin.time.Duration

private val logger = KotlinLogging.logger {}

/** Sends heartbeats to entries, preferably of the agent's failure domain, and to the owners of its attempts' shards. */
internal class HeartbeatSender(
    private val seeds: List<String>,
    private val failureDomain: String,
    private val period: Duration,
    private val channels: PeerChannels,
    private val clock: () -> MonotonicInstant,
    private val state: () -> AgentState,
    private val buildHeartbeat: (includesShard: (Int) -> Boolean, sentAt: MonotonicInstant) -> HeartbeatRequest,
    private val send: (AgentEvent) -> Unit,
) {
    /** Failure domain by the address of each entry. */
    private val entryDomains = ConcurrentHashMap<String, String>()

    /** Address of the owner by shard. */
    private val ownerAddresses = ConcurrentHashMap<Int, String>()
    private val loopsByTarget = ConcurrentHashMap<String, Job>()

    /** Whether an entry or owner has responded to a heartbeat since the agent started. */
    @Volatile
    var connected: Boolean = false
        private set

    /** Keeps one heartbeat loop per target until [scope] is cancelled. */
    suspend fun run(scope: CoroutineScope) {
        while (scope.isActive) {
            val current = targets()
            loopsByTarget.keys.filter { it !in current }.forEach { loopsByTarget.remove(it)?.cancel() }
            for (t in current) loopsByTarget.computeIfAbsent(t) { scope.launch { heartbeatLoop(t) } }
            delay(period / 2)
        }
    }

    private fun targets(): Set<String> {
        val local = entryDomains.filterValues { it == failureDomain }.keys.sorted()
        val entries = local.ifEmpty { entryDomains.keys.sorted() }.take(MAX_ENTRIES)
        val shardOwners = state().attempts.values.mapNotNull { ownerAddresses[it.shard] }
        return entries.ifEmpty { seeds.take(MAX_ENTRIES) }.toSet() + shardOwners
    }

    private suspend fun heartbeatLoop(target: String) {
        // A random initial delay spreads the heartbeats of agents that start together, such as those of one rack.
        delay(period * Random.nextDouble())
        var failures = 0
        while (true) {
            if (sendHeartbeat(target)) failures = 0 else failures++
            if (failures >= MAX_FAILURES) {
                // Drops an address that no longer responds; if no entry is left, the seeds provide the current ones.
                entryDomains.remove(target)
                ownerAddresses.values.removeIf { it == target }
                failures = 0
            }
            delay(period)
        }
    }

    private suspend fun sendHeartbeat(target: String): Boolean {
        val sentAt = clock()
        val request = buildHeartbeat({ shard -> ownerAddresses[shard].let { it == null || it == target } }, sentAt)
        val channel = channels.get(target)
        val stub = EntryGrpcKt.EntryCoroutineStub(channel).withDeadlineAfter(CALL_MILLIS, TimeUnit.MILLISECONDS)
        return try {
            handleReply(stub.heartbeat(request))
            true
        } catch (e: io.grpc.StatusException) {
            channels.replaceOnTimeout(target, channel, e.status)
            logger.debug { "heartbeat to $target failed: ${e.status.code}" }
            false
        }
    }

    private fun handleReply(reply: HeartbeatReply) {
        connected = true
        // A heartbeat to an odd address throws, which ends the loop of its target for good.
        val entries = reply.entriesList.filter { HostAddress.parse(it.address) != null }
        entries.forEach { entryDomains[it.address] = it.failureDomain }
        val listed = entries.map { it.address }.toSet()
        if (listed.isNotEmpty()) entryDomains.keys.removeIf { it !in listed }
        reply.ownersMap.filterValues { HostAddress.parse(it) != null }.forEach(ownerAddresses::put)
        if (reply.hasConfig()) send(AgentEvent.ConfigReceived(reply.config.toModel()))
        send(
            AgentEvent.HeartbeatAnswered(
                sentAt = MonotonicInstant(reply.sentNanos),
                renewals = reply.renewalsList.associate { it.shard to it.epoch },
                acknowledged = reply.acknowledgedList.map { it.toModel() },
                stops = reply.stopList.map { it.toModel() },
            ),
        )
    }

    private companion object {
        const val MAX_ENTRIES = 3
        const val CALL_MILLIS = 2_000L
        const val MAX_FAILURES = 5
    }
}
