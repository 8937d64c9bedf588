package org.camphorhall.entry.shard

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.camphorhall.core.config.Configuration
import org.camphorhall.core.model.MonotonicInstant
import org.camphorhall.core.model.Reason
import org.camphorhall.core.model.WorkerId
import org.camphorhall.core.routing.WorkerSnapshot
import org.camphorhall.core.shard.AttemptReport
import org.camphorhall.core.shard.JobShardAction
import org.camphorhall.core.shard.JobShardEvent
import org.camphorhall.core.shard.JobShardMachine
import org.camphorhall.core.shard.JobShardState
import org.camphorhall.core.shard.KeyShardAction
import org.camphorhall.core.shard.KeyShardEvent
import org.camphorhall.core.shard.KeyShardMachine
import org.camphorhall.core.shard.KeyShardState
import org.camphorhall.core.shard.ShardSettings
import org.camphorhall.core.shard.SingleStepJobRecord
import org.camphorhall.entry.Clocks
import org.camphorhall.entry.store.jobPages
import org.camphorhall.entry.store.keyPages
import org.camphorhall.platform.store.KeyValueStore
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration.Companion.milliseconds

private val logger = KotlinLogging.logger {}

/** Runs the state machines of one shard for as long as this entry owns it, and performs their actions. */
internal class ShardHost(
    claim: ShardClaim,
    writer: String,
    settings: ShardSettings,
    store: KeyValueStore,
    private val clocks: Clocks,
    private val workerSnapshot: () -> WorkerSnapshot,
    private val config: () -> Configuration,
    private val sendCommand: (ShardHost, JobShardAction.Command) -> Unit,
) {
    val shard: Int = claim.shard
    val epoch: Long = claim.epoch

    /** Store lease that the owner record is attached to. */
    val lease: String = claim.lease
    private val jobMachine = JobShardMachine(settings)
    private val keyMachine = KeyShardMachine(settings)
    private val jobPages = jobPages(store, shard)
    private val keyPages = keyPages(store, shard)
    private val events = Channel<Any>(Channel.UNLIMITED)
    private val pendingRequests = ConcurrentHashMap<Long, CompletableDeferred<ShardResponse>>()
    private val pendingHeartbeats = ConcurrentHashMap<Long, CompletableDeferred<ShardHeartbeatResponse>>()
    private val nextCorrelationId = AtomicLong()
    private var keyState = KeyShardState.acquired(shard, epoch, writer)

    /** State of the jobs after the last event; safe to read from any thread. */
    @Volatile
    var jobState: JobShardState = JobShardState.acquired(shard, epoch, writer, clocks.mono(), claim.sentAt)
        private set

    /** Whether ownership of the shard's job and key pages is established in the store. */
    @Volatile
    var ready: Boolean = false
        private set

    @Volatile
    var closed: Boolean = false
        private set

    /** Whether the shard is about to move. Pending requests complete first; new ones go to the next owner. */
    @Volatile
    var draining: Boolean = false
        private set

    /** Whether this entry serves requests for the shard. */
    val acceptsRequests: Boolean get() = ready && !draining && !closed

    suspend fun run(scope: CoroutineScope) {
        scope.launch {
            while (!closed) {
                events.trySend(JobShardEvent.Tick)
                events.trySend(KeyShardEvent.Tick)
                delay(TICK_INTERVAL)
            }
        }
        for (event in events) {
            when (event) {
                is JobShardEvent -> step(scope, event)
                is KeyShardEvent -> step(scope, event)
            }
            ready = jobState.ready && keyState.ready
            if (closed) break
        }
        pendingRequests.values.forEach { it.complete(ShardResponse.InDoubt(Reason.ShardMoved)) }
        pendingHeartbeats.values.forEach { it.complete(null) }
    }

    private fun step(scope: CoroutineScope, event: JobShardEvent) {
        val transition = jobMachine.step(jobState, event, clocks.now(), workerSnapshot(), config())
        jobState = transition.state
        transition.actions.forEach { perform(scope, it) }
    }

    private fun perform(scope: CoroutineScope, a: JobShardAction) {
        when (a) {
            is JobShardAction.CallStore -> scope.launch {
                val event = jobPages.perform(a.call)
                events.send(JobShardEvent.PageResponse(event))
            }
            is JobShardAction.Accepted -> respond(a.correlationId, ShardResponse.Accepted(a.id))
            is JobShardAction.Rejected -> respond(a.correlationId, ShardResponse.Rejected(a.reason))
            is JobShardAction.InDoubt -> respond(a.correlationId, ShardResponse.InDoubt(a.reason))
            is JobShardAction.CancelRecorded -> respond(a.correlationId, ShardResponse.Done)
            is JobShardAction.RespondToHeartbeat -> pendingHeartbeats.remove(a.correlationId)?.complete(a)
            is JobShardAction.Command -> sendCommand(this, a)
            JobShardAction.OwnershipLost -> closeAfterOwnershipLoss()
        }
    }

    private fun step(scope: CoroutineScope, event: KeyShardEvent) {
        val transition = keyMachine.step(keyState, event, clocks.now())
        keyState = transition.state
        for (a in transition.actions) {
            when (a) {
                is KeyShardAction.CallStore -> scope.launch {
                    val event = keyPages.perform(a.call)
                    events.send(KeyShardEvent.PageResponse(event))
                }
                is KeyShardAction.Granted -> respond(a.correlationId, ShardResponse.Granted)
                is KeyShardAction.Recorded -> respond(a.correlationId, ShardResponse.Recorded(a.record))
                is KeyShardAction.AlreadyClaimed -> respond(a.correlationId, ShardResponse.AlreadyClaimed(a.reason))
                is KeyShardAction.Rejected -> respond(a.correlationId, ShardResponse.Rejected(a.reason))
                KeyShardAction.OwnershipLost -> closeAfterOwnershipLoss()
            }
        }
    }

    private fun respond(correlationId: Long, response: ShardResponse) {
        pendingRequests.remove(correlationId)?.complete(response)
    }

    private fun closeAfterOwnershipLoss() {
        logger.warn { "shard $shard has a newer owner; closing it" }
        closed = true
    }

    /** Stops acting for the shard, because the store lease expired or the entry releases the shard. */
    fun close() {
        closed = true
        events.trySend(JobShardEvent.Tick)
    }

    /** Stops accepting requests and waits up to 3 s for pending ones. The tasks of the shard keep their leases. */
    suspend fun drain() {
        draining = true
        withTimeoutOrNull(DRAIN_TIMEOUT) {
            while (pendingRequests.isNotEmpty()) delay(DRAIN_POLL_INTERVAL)
        }
    }

    /** Accepts requests again after [drain]. */
    fun resume() {
        draining = false
    }

    /** Waits for pending requests as [drain] does, then stops acting for the shard. */
    suspend fun drainAndClose() {
        drain()
        close()
    }

    fun onStoreLeaseRenewed(sentAt: MonotonicInstant) {
        events.trySend(JobShardEvent.StoreLeaseRenewed(sentAt))
    }

    fun onCommandResponse(worker: WorkerId, incarnation: Long, reports: List<AttemptReport>) {
        events.trySend(JobShardEvent.CommandResponse(worker, incarnation, reports))
    }

    /** Processes the attempts of this shard that a heartbeat reports. Returns null when the shard is closed. */
    suspend fun heartbeat(
        worker: WorkerId,
        incarnation: Long,
        acceptedEpoch: Long,
        reports: List<AttemptReport>,
    ): ShardHeartbeatResponse {
        val correlationId = nextCorrelationId.incrementAndGet()
        val response = CompletableDeferred<ShardHeartbeatResponse>()
        pendingHeartbeats[correlationId] = response
        if (closed) return null
        events.send(JobShardEvent.HeartbeatReceived(correlationId, worker, incarnation, acceptedEpoch, reports))
        return response.await()
    }

    /** Performs [request]. Settling a key returns [ShardResponse.Done] without waiting for the store. */
    suspend fun handle(request: ShardRequest): ShardResponse {
        val correlationId = nextCorrelationId.incrementAndGet()
        val event: Any = when (request) {
            is ShardRequest.Submit -> JobShardEvent.Submit(correlationId, request.id, request.spec)
            is ShardRequest.Cancel -> JobShardEvent.Cancel(correlationId, request.id)
            is ShardRequest.Claim -> with(request) { KeyShardEvent.Claim(correlationId, key, claimant, deadlineMillis) }
            is ShardRequest.Settle -> {
                events.send(with(request) { KeyShardEvent.Settle(key, claimant, outcome, reason, body) })
                return ShardResponse.Done
            }
            is ShardRequest.Status -> return jobsResponse { listOfNotNull(it.commit.durable.jobs[request.id]) }
            ShardRequest.ListJobs -> return jobsResponse { it.commit.durable.jobs.values.toList() }
        }
        val response = CompletableDeferred<ShardResponse>()
        pendingRequests[correlationId] = response
        if (closed) return ShardResponse.Rejected(Reason.ShardMoved)
        events.send(event)
        return response.await()
    }

    private fun jobsResponse(read: (JobShardState) -> List<SingleStepJobRecord>): ShardResponse {
        val s = jobState
        return if (s.ready) ShardResponse.Jobs(read(s)) else ShardResponse.Rejected(Reason.StoreUnavailable)
    }

    private companion object {
        val TICK_INTERVAL = 50.milliseconds
        val DRAIN_TIMEOUT = 3_000.milliseconds
        val DRAIN_POLL_INTERVAL = 5.milliseconds
    }
}
