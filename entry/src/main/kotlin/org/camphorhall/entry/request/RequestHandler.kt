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
import org.camphorhall.core.policy.RoutingPolicy
import org.camphorhall.core.routing.RequestAction
import org.camphorhall.core.routing.RequestContext
import org.camphorhall.core.routing.RequestEvent
import org.camphorhall.core.routing.RequestMachine
import org.camphorhall.core.routing.RequestState
import org.camphorhall.core.routing.RetryBudget
import org.camphorhall.core.shard.KeyRecord
import org.camphorhall.entry.Clocks
import org.camphorhall.entry.members.WorkerRegistry
import org.camphorhall.entry.shard.ShardClient
import org.camphorhall.entry.shard.ShardRequest
import org.camphorhall.entry.shard.ShardResponse
import org.camphorhall.entry.shard.isConnectFailure
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

/** A latency-critical request from a caller. */
internal class CallerRequest(
    val id: RequestId,
    val className: ClassName,
    val tenant: TenantName,
    val idempotent: Boolean,
    /** Idempotency key, qualified by tenant and class; null when the caller sent none. */
    val key: String?,
    val timeout: Duration,
    val body: ByteArray,
    val configVersion: Long,
)

/** Response to a [CallerRequest]. */
internal class CallerResponse(
    val outcome: RequestOutcome,
    val body: ByteArray,
    /** Record of an earlier request with the same key, when the response is built from it. */
    val record: KeyRecord?,
    val queueMicros: Long,
    val runMicros: Long,
    val tries: Int,
)

/** Serves requests: runs a [RequestMachine] for each and performs its actions. */
internal class RequestHandler(
    private val entry: String,
    private val failureDomain: String,
    private val routing: RoutingPolicy,
    private val shardCount: Int,
    private val shards: ShardClient,
    private val workerRegistry: WorkerRegistry,
    private val channels: PeerChannels,
    private val clocks: Clocks,
    private val scope: CoroutineScope,
    private val onRetry: () -> Unit,
) {
    private val machine = RequestMachine()
    private val retryBudget = AtomicReference(RetryBudget())

    /**
     * Serves [request]. When the caller disconnects, the request is withdrawn; if it ran all the same, its outcome is
     * recorded.
     */
    suspend fun handle(request: CallerRequest): CallerResponse {
        val execution = RequestExecution(request)
        val job = scope.launch { execution.execute() }
        try {
            job.join()
        } catch (e: CancellationException) {
            withContext(NonCancellable) { execution.events.send(RequestEvent.CallerDisconnected) }
            throw e
        }
        return checkNotNull(execution.callerResponse)
    }

    private inner class RequestExecution(private val request: CallerRequest) {
        val events = Channel<RequestEvent>(Channel.UNLIMITED)
        var callerResponse: CallerResponse? = null
        // Unique per request, so that a concurrent repeat with the same request id is a separate claim.
        private val claimant = "$entry/${request.id.value}/${UUID.randomUUID()}"
        private var agentResponse: ExecuteReply? = null
        private var tries = 0

        suspend fun execute() {
            val deadline = clocks.mono() + request.timeout
            var state = RequestState(request.id, request.className, deadline, request.idempotent, request.key)
            val timer: Job = scope.launch {
                delay(request.timeout)
                events.send(RequestEvent.DeadlineReached)
            }
            events.send(RequestEvent.Start)
            for (event in events) {
                val transition = machine.step(state, event, clocks.mono(), context())
                state = transition.state
                transition.actions.forEach { perform(it) }
                if (callerResponse != null) break
            }
            timer.cancel()
        }

        private fun context() =
            RequestContext(workerRegistry.snapshot(), retryBudget.get(), failureDomain, Random.nextLong(), routing)

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
            val deadlineMillis = clocks.now().wallMillis + request.timeout.inWholeMilliseconds
            val keyResponse = shards.send(shardOf(key, shardCount), ShardRequest.Claim(key, claimant, deadlineMillis))
            events.send(
                when (keyResponse) {
                    ShardResponse.Granted -> RequestEvent.KeyGranted
                    is ShardResponse.Recorded -> RequestEvent.KeyRecorded(keyResponse.record)
                    is ShardResponse.AlreadyClaimed -> RequestEvent.KeyConflict(keyResponse.reason)
                    is ShardResponse.Rejected -> RequestEvent.KeyRejected(keyResponse.reason)
                    else -> RequestEvent.KeyRejected(Reason.StoreUnavailable)
                },
            )
        }

        private fun send(a: RequestAction.Send) {
            tries++
            retryBudget.updateAndGet { if (a.retry) it.retry() ?: it else it.firstTry() }
            if (a.retry) onRetry()
            workerRegistry.recordSent(a.worker, 1)
            scope.launch {
                events.send(callAgent(a))
                workerRegistry.recordSent(a.worker, -1)
            }
        }

        private suspend fun callAgent(a: RequestAction.Send): RequestEvent {
            val message = ExecuteRequest.newBuilder()
                .setRequestId(request.id.value)
                .setClassName(request.className.value)
                .setTenant(request.tenant.value)
                .setIdempotent(request.idempotent)
                .setBody(ByteString.copyFrom(request.body))
                .setConfigVersion(request.configVersion)
                .setIncarnation(a.incarnation)
                .setDeadlineNanos(a.deadline.nanos)
                .build()
            val callTimeoutMillis = request.timeout.inWholeMilliseconds + RESPONSE_GRACE_MILLIS
            return try {
                // Only an idempotent request may be sent again, so the others wait for a late response.
                val response = channels.callWithProbes(
                    a.address,
                    failWhenUnresponsive = request.idempotent,
                    ::ping,
                ) { channel ->
                    AgentGrpcKt.AgentCoroutineStub(channel)
                        .withDeadlineAfter(callTimeoutMillis, TimeUnit.MILLISECONDS)
                        .execute(message)
                }
                // Guards against passing on the response to another request.
                check(response.requestId == request.id.value) {
                    "agent at ${a.address} sent the response to ${response.requestId} for request ${request.id}"
                }
                agentResponse = response
                val outcome = outcomeOf(response.outcome, response.reason, response.retryAfterMillis)
                // Such a worker rejects requests at once and appears idle, so it would attract more and more of them.
                if (outcome is RequestOutcome.NotRun && outcome.reason in UNAVAILABLE_REASONS) {
                    workerRegistry.markUnavailable(a.worker)
                }
                RequestEvent.AgentResponded(a.worker, outcome)
            } catch (e: StatusException) {
                val notSent = e.status.isConnectFailure()
                if (notSent) workerRegistry.markUnavailable(a.worker)
                RequestEvent.SendFailed(a.worker, notSent = notSent)
            }
        }

        private suspend fun withdraw(a: RequestAction.Withdraw) {
            val message = WithdrawRequest.newBuilder()
                .setRequestId(request.id.value)
                .setIncarnation(a.incarnation)
                .setDeadlineNanos(a.deadline.nanos)
                .build()
            val event = try {
                val response = AgentGrpcKt.AgentCoroutineStub(channels.get(a.address))
                    .withDeadlineAfter(WITHDRAW_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                    .withdraw(message)
                RequestEvent.WithdrawalAcknowledged(a.worker, response.notRun)
            } catch (e: StatusException) {
                RequestEvent.WithdrawalFailed(a.worker)
            }
            events.send(event)
        }

        private suspend fun settle(a: RequestAction.SettleKey) {
            val body =
                agentResponse?.body?.takeIf { it.size() <= MAX_STORED_BODY_BYTES && it.isValidUtf8 }?.toStringUtf8()
            val settlement = ShardRequest.Settle(a.key, claimant, a.outcome.code, a.outcome.reasonCode, body)
            shards.send(shardOf(a.key, shardCount), settlement)
        }

        private fun finish(a: RequestAction.Finish) {
            val body = agentResponse?.body?.toByteArray() ?: ByteArray(0)
            callerResponse = CallerResponse(
                a.outcome,
                body,
                a.record,
                agentResponse?.queueMicros ?: 0,
                agentResponse?.runMicros ?: 0,
                tries,
            )
        }
    }

    private suspend fun ping(channel: ManagedChannel): Boolean = try {
        AgentGrpcKt.AgentCoroutineStub(channel)
            .withDeadlineAfter(PING_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
            .ping(PingRequest.getDefaultInstance())
        true
    } catch (e: StatusException) {
        false
    }

    private companion object {
        /** A busy agent responds within this time; a dead connection does not. */
        const val PING_TIMEOUT_MILLIS = 1_000L

        /** Time after the deadline of a request for which the entry still waits for the agent's response. */
        const val RESPONSE_GRACE_MILLIS = 1_000L

        /** Rejection reasons that apply to every request until the worker reports again. */
        val UNAVAILABLE_REASONS = setOf(Reason.NoBackendServer, Reason.Draining, Reason.Stale)
        const val WITHDRAW_TIMEOUT_MILLIS = 500L

        /** Longest response body that is stored with its idempotency key. */
        const val MAX_STORED_BODY_BYTES = 2_048
    }
}
