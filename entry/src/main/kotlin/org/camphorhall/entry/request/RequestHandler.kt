package org.camphorhall.entry.request

import com.google.protobuf.ByteString
import io.grpc.ManagedChannel
import io.grpc.StatusException
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import org.camphorhall.core.agent.shardOf
import org.camphorhall.core.model.ClassName
import org.camphorhall.core.model.Reason
import org.camphorhall.core.model.RequestId
import org.camphorhall.core.model.RequestOutcome
import org.camphorhall.core.model.TenantName
import org.camphorhall.core.routing.RequestAction
import org.camphorhall.core.routing.RequestContext
import org.camphorhall.core.routing.RequestEvent
import org.camphorhall.core.routing.RequestMachine
import org.camphorhall.core.routing.RequestState
import org.camphorhall.core.routing.RetryBudget
import org.camphorhall.core.shard.KeyRecord
import org.camphorhall.entry.Clocks
import org.camphorhall.entry.members.Members
import org.camphorhall.entry.shard.ShardAnswer
import org.camphorhall.entry.shard.ShardClient
import org.camphorhall.entry.shard.ShardRequest
import org.camphorhall.entry.shard.isNotConnected
import org.camphorhall.wire.PeerChannels
import org.camphorhall.wire.outcomeOf
import org.camphorhall.wire.proto.AgentGrpcKt
import org.camphorhall.wire.proto.ExecuteReply
import org.camphorhall.wire.proto.ExecuteRequest
import org.camphorhall.wire.proto.PingRequest
import org.camphorhall.wire.proto.WithdrawRequest
import org.camphorhall.wire.reasonCode
import java.util.UUID
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicReference
import kotlin.random.Random
import kotlin.time.Duration

/** A request of a caller. */
internal class CallerRequest(
    val id: RequestId,
    val className: ClassName,
    val tenant: TenantName,
    val idempotent: Boolean,
    /** Tenant and idempotency key; null when the caller gave none. */
    val key: String?,
    val timeout: Duration,
    val body: ByteArray,
    val configVersion: Long,
)

/** What the caller gets. */
internal class CallerAnswer(
    val outcome: RequestOutcome,
    val body: ByteArray,
    /** Record of an earlier request with the same key, when the answer is built from it. */
    val record: KeyRecord?,
    val queueMicros: Long,
    val runMicros: Long,
    val tries: Int,
)

/** Serves requests with the decision code of [RequestMachine]. */
internal class RequestHandler(
    private val entry: String,
    private val failureDomain: String,
    private val routing: org.camphorhall.core.policy.RoutingPolicy,
    private val shardCount: Int,
    private val shards: ShardClient,
    private val members: Members,
    private val channels: PeerChannels,
    private val clocks: Clocks,
    private val scope: CoroutineScope,
    private val onRetry: () -> Unit,
) {
    private val machine = RequestMachine()
    private val budget = AtomicReference(RetryBudget())

    /** Serves [request]. When the caller goes away, the request is withdrawn or its outcome is still recorded. */
    suspend fun handle(request: CallerRequest): CallerAnswer {
        val run = Run(request)
        val job = scope.launch { run.execute() }
        try {
            job.join()
        } catch (e: CancellationException) {
            withContext(NonCancellable) { run.events.send(RequestEvent.CallerDisconnected) }
            throw e
        }
        return checkNotNull(run.answer)
    }

    private inner class Run(private val r: CallerRequest) {
        val events = Channel<RequestEvent>(Channel.UNLIMITED)
        var answer: CallerAnswer? = null
        // A caller that repeats its request id while the first request runs makes a second claim, not the same one.
        private val claimant = "$entry/${r.id.value}/${UUID.randomUUID()}"
        private var reply: ExecuteReply? = null
        private var tries = 0

        suspend fun execute() {
            val deadline = clocks.mono() + r.timeout
            var state = RequestState(r.id, r.className, deadline, r.idempotent, r.key)
            val timer: Job = scope.launch {
                delay(r.timeout)
                events.send(RequestEvent.DeadlineReached)
            }
            events.send(RequestEvent.Start)
            for (event in events) {
                val t = machine.step(state, event, clocks.mono(), context())
                state = t.state
                t.actions.forEach { perform(it) }
                if (answer != null) break
            }
            timer.cancel()
        }

        private fun context() =
            RequestContext(members.view(), budget.get(), failureDomain, Random.nextLong(), routing)

        private fun perform(a: RequestAction) {
            when (a) {
                is RequestAction.ClaimKey -> scope.launch { claim(a.key) }
                is RequestAction.Send -> send(a)
                is RequestAction.Withdraw -> scope.launch { withdraw(a) }
                is RequestAction.SettleKey -> scope.launch { settle(a) }
                is RequestAction.Finish -> finish(a)
            }
        }

        private suspend fun claim(key: String) {
            val until = clocks.now().wallMillis + r.timeout.inWholeMilliseconds
            val answered = shards.send(shardOf(key, shardCount), ShardRequest.Claim(key, claimant, until))
            events.send(
                when (answered) {
                    ShardAnswer.Granted -> RequestEvent.KeyGranted
                    is ShardAnswer.Recorded -> RequestEvent.KeyRecorded(answered.record)
                    is ShardAnswer.Taken -> RequestEvent.KeyConflict(answered.reason)
                    is ShardAnswer.Refused -> RequestEvent.KeyRejected(answered.reason)
                    else -> RequestEvent.KeyRejected(Reason.StoreUnavailable)
                },
            )
        }

        private fun send(a: RequestAction.Send) {
            tries++
            budget.updateAndGet { if (a.retry) it.retry() ?: it else it.firstTry() }
            if (a.retry) onRetry()
            members.noteSent(a.worker, 1)
            scope.launch {
                events.send(execute(a))
                members.noteSent(a.worker, -1)
            }
        }

        private suspend fun execute(a: RequestAction.Send): RequestEvent {
            val message = ExecuteRequest.newBuilder()
                .setRequestId(r.id.value)
                .setClassName(r.className.value)
                .setTenant(r.tenant.value)
                .setIdempotent(r.idempotent)
                .setBody(ByteString.copyFrom(r.body))
                .setConfigVersion(r.configVersion)
                .setIncarnation(a.incarnation)
                .setDeadlineNanos(a.deadline.nanos)
                .build()
            return try {
                // Only an idempotent request may be sent again, so the others wait for a late answer.
                val got = channels.callWithProbes(a.address, failWhenUnresponsive = r.idempotent, ::ping) { channel ->
                    AgentGrpcKt.AgentCoroutineStub(channel)
                        .withDeadlineAfter(r.timeout.inWholeMilliseconds + GRACE_MILLIS, TimeUnit.MILLISECONDS)
                        .execute(message)
                }
                // An answer to another request is never passed on.
                check(got.requestId == r.id.value) { "answer to ${got.requestId} for request ${r.id}" }
                reply = got
                val outcome = outcomeOf(got.outcome, got.reason, got.retryAfterMillis)
                // Such a worker refuses at once and looks idle, so it would draw ever more requests.
                if (outcome is RequestOutcome.NotRun && outcome.reason in CLOSED) members.noteUnreachable(a.worker)
                RequestEvent.AgentResponded(a.worker, outcome)
            } catch (e: StatusException) {
                val notSent = e.status.isNotConnected()
                if (notSent) members.noteUnreachable(a.worker)
                RequestEvent.SendFailed(a.worker, notSent = notSent)
            }
        }

        private suspend fun withdraw(a: RequestAction.Withdraw) {
            val message = WithdrawRequest.newBuilder()
                .setRequestId(r.id.value)
                .setIncarnation(a.incarnation)
                .setDeadlineNanos(a.deadline.nanos)
                .build()
            val event = try {
                val got = AgentGrpcKt.AgentCoroutineStub(channels.get(a.address))
                    .withDeadlineAfter(WITHDRAW_MILLIS, TimeUnit.MILLISECONDS)
                    .withdraw(message)
                RequestEvent.WithdrawalAcknowledged(a.worker, got.notRun)
            } catch (e: StatusException) {
                RequestEvent.WithdrawalFailed(a.worker)
            }
            events.send(event)
        }

        private suspend fun settle(a: RequestAction.SettleKey) {
            val body = reply?.body?.takeIf { it.size() <= MAX_KEPT_BODY && it.isValidUtf8 }?.toStringUtf8()
            val settled = ShardRequest.Settle(a.key, claimant, a.outcome.code, a.outcome.reasonCode, body)
            shards.send(shardOf(a.key, shardCount), settled)
        }

        private fun finish(a: RequestAction.Finish) {
            val body = reply?.body?.toByteArray() ?: ByteArray(0)
            answer = CallerAnswer(
                a.outcome,
                body,
                a.record,
                reply?.queueMicros ?: 0,
                reply?.runMicros ?: 0,
                tries,
            )
        }
    }

    private suspend fun ping(channel: ManagedChannel): Boolean = try {
        AgentGrpcKt.AgentCoroutineStub(channel)
            .withDeadlineAfter(PING_MILLIS, TimeUnit.MILLISECONDS)
            .ping(PingRequest.getDefaultInstance())
        true
    } catch (e: StatusException) {
        false
    }

    private companion object {
        /** A busy agent answers within this time; a silent connection never does. */
        const val PING_MILLIS = 1_000L

        /** Time after its deadline for which the entry waits for an agent's answer. */
        const val GRACE_MILLIS = 1_000L
        /** Refusals that hold for every request until the worker reports again. */
        val CLOSED = setOf(Reason.NoBackendServer, Reason.Draining, Reason.Stale)
        const val WITHDRAW_MILLIS = 500L

        /** Longest answer that is kept with its idempotency key. */
        const val MAX_KEPT_BODY = 2_048
    }
}
