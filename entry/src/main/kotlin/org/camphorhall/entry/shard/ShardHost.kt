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
import org.camphorhall.entry.Clocks
import org.camphorhall.entry.store.jobPages
import org.camphorhall.entry.store.keyPages
import org.camphorhall.platform.store.KeyValueStore
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration.Companion.milliseconds

private val logger = KotlinLogging.logger {}

/** Runs the decision code of one shard for as long as this entry owns it. */
internal class ShardHost(
    val shard: Int,
    val epoch: Long,
    writer: String,
    settings: ShardSettings,
    store: KeyValueStore,
    private val clocks: Clocks,
    private val view: () -> WorkerSnapshot,
    private val config: () -> Configuration,
    private val sendCommand: (ShardHost, JobShardAction.Command) -> Unit,
) {
    private val jobMachine = JobShardMachine(settings)
    private val keyMachine = KeyShardMachine(settings)
    private val jobPages = jobPages(store, shard)
    private val keyPages = keyPages(store, shard)
    private val events = Channel<Any>(Channel.UNLIMITED)
    private val replies = ConcurrentHashMap<Long, CompletableDeferred<ShardAnswer>>()
    private val heartbeats = ConcurrentHashMap<Long, CompletableDeferred<HeartbeatPart>>()
    private val numbers = AtomicLong()
    private var keys = KeyShardState.acquired(shard, epoch, writer)

    /** State after the last event; safe to read from any thread. */
    @Volatile
    var jobs: JobShardState = JobShardState.acquired(shard, epoch, writer, clocks.mono())
        private set

    /** Whether the shard can be used by callers. */
    @Volatile
    var ready: Boolean = false
        private set

    @Volatile
    var lost: Boolean = false
        private set

    /** Whether the shard is about to move; commands under way end first, new ones go to the next owner. */
    @Volatile
    var leaving: Boolean = false
        private set

    /** Whether callers can use the shard here. */
    val open: Boolean get() = ready && !leaving && !lost

    suspend fun run(scope: CoroutineScope) {
        scope.launch {
            while (!lost) {
                events.trySend(JobShardEvent.Tick)
                events.trySend(KeyShardEvent.Tick)
                delay(TICK)
            }
        }
        for (e in events) {
            when (e) {
                is JobShardEvent -> step(scope, e)
                is KeyShardEvent -> step(scope, e)
            }
            ready = jobs.ready && keys.ready
            if (lost) break
        }
        replies.values.forEach { it.complete(ShardAnswer.InDoubt(Reason.ShardMoved)) }
        heartbeats.values.forEach { it.complete(null) }
    }

    private fun step(scope: CoroutineScope, e: JobShardEvent) {
        val t = jobMachine.step(jobs, e, clocks.now(), view(), config())
        jobs = t.state
        t.actions.forEach { perform(scope, it) }
    }

    private fun perform(scope: CoroutineScope, a: JobShardAction) {
        when (a) {
            is JobShardAction.CallStore -> scope.launch {
                val answered = jobPages.perform(a.call)
                events.send(JobShardEvent.PageResponse(answered))
            }
            is JobShardAction.Accepted -> answer(a.correlationId, ShardAnswer.Accepted(a.id))
            is JobShardAction.Rejected -> answer(a.correlationId, ShardAnswer.Refused(a.reason))
            is JobShardAction.InDoubt -> answer(a.correlationId, ShardAnswer.InDoubt(a.reason))
            is JobShardAction.CancelRecorded -> answer(a.correlationId, ShardAnswer.Done)
            is JobShardAction.RespondToHeartbeat -> heartbeats.remove(a.correlationId)?.complete(a)
            is JobShardAction.Command -> sendCommand(this, a)
            JobShardAction.OwnershipLost -> lose()
        }
    }

    private fun step(scope: CoroutineScope, e: KeyShardEvent) {
        val t = keyMachine.step(keys, e, clocks.now())
        keys = t.state
        for (a in t.actions) {
            when (a) {
                is KeyShardAction.CallStore -> scope.launch {
                    val answered = keyPages.perform(a.call)
                    events.send(KeyShardEvent.PageResponse(answered))
                }
                is KeyShardAction.Granted -> answer(a.correlationId, ShardAnswer.Granted)
                is KeyShardAction.Recorded -> answer(a.correlationId, ShardAnswer.Recorded(a.record))
                is KeyShardAction.AlreadyClaimed -> answer(a.correlationId, ShardAnswer.Taken(a.reason))
                is KeyShardAction.Rejected -> answer(a.correlationId, ShardAnswer.Refused(a.reason))
                KeyShardAction.OwnershipLost -> lose()
            }
        }
    }

    private fun answer(reply: Long, answer: ShardAnswer) {
        replies.remove(reply)?.complete(answer)
    }

    private fun lose() {
        logger.warn { "shard $shard has a later owner" }
        lost = true
    }

    /** Stops acting for the shard, because the store lease expired or the entry gives the shard up. */
    fun close() {
        lost = true
        events.trySend(JobShardEvent.Tick)
    }

    /** Takes no more commands and waits for those under way. The tasks of the shard keep their leases. */
    suspend fun drain() {
        leaving = true
        withTimeoutOrNull(LEAVE_LIMIT) {
            while (replies.isNotEmpty()) delay(LEAVE_POLL)
        }
    }

    /** Takes commands again after [drain]. */
    fun resume() {
        leaving = false
    }

    /** Lets the commands under way end, then stops acting for the shard. */
    suspend fun leave() {
        drain()
        close()
    }

    fun storeContact(sentAt: MonotonicInstant) {
        events.trySend(JobShardEvent.StoreLeaseRenewed(sentAt))
    }

    fun commandAnswered(worker: WorkerId, reports: List<AttemptReport>) {
        events.trySend(JobShardEvent.CommandResponse(worker, reports))
    }

    /** Passes on the part of a heartbeat that concerns this shard. */
    suspend fun heartbeat(worker: WorkerId, acceptedEpoch: Long, reports: List<AttemptReport>): HeartbeatPart {
        val n = numbers.incrementAndGet()
        val reply = CompletableDeferred<HeartbeatPart>()
        heartbeats[n] = reply
        if (lost) return null
        events.send(JobShardEvent.HeartbeatReceived(n, worker, acceptedEpoch, reports))
        return reply.await()
    }

    /** Carries out [request]. */
    suspend fun handle(request: ShardRequest): ShardAnswer {
        val n = numbers.incrementAndGet()
        val event: Any = when (request) {
            is ShardRequest.Submit -> JobShardEvent.Submit(n, request.id, request.spec)
            is ShardRequest.Cancel -> JobShardEvent.Cancel(n, request.id)
            is ShardRequest.Claim -> with(request) { KeyShardEvent.Claim(n, key, claimant, deadlineMillis) }
            is ShardRequest.Settle -> {
                events.send(with(request) { KeyShardEvent.Settle(key, claimant, outcome, reason, body) })
                return ShardAnswer.Done
            }
            is ShardRequest.Status -> return status { listOfNotNull(it.commit.durable.jobs[request.id]) }
            ShardRequest.ListJobs -> return status { it.commit.durable.jobs.values.toList() }
        }
        val reply = CompletableDeferred<ShardAnswer>()
        replies[n] = reply
        if (lost) return ShardAnswer.Refused(Reason.ShardMoved)
        events.send(event)
        return reply.await()
    }

    private fun status(read: (JobShardState) -> List<org.camphorhall.core.shard.SingleStepJobRecord>): ShardAnswer {
        val s = jobs
        return if (s.ready) ShardAnswer.Jobs(read(s)) else ShardAnswer.Refused(Reason.StoreUnavailable)
    }

    private companion object {
        val TICK = 50.milliseconds
        val LEAVE_LIMIT = 3_000.milliseconds
        val LEAVE_POLL = 5.milliseconds
    }
}
