package org.camphorhall.agent

import com.google.protobuf.ByteString
import kotlinx.coroutines.CompletableDeferred
import org.camphorhall.core.agent.AgentEvent
import org.camphorhall.core.agent.Request
import org.camphorhall.core.model.ClassName
import org.camphorhall.core.model.MonotonicInstant
import org.camphorhall.core.model.Reason
import org.camphorhall.core.model.RequestId
import org.camphorhall.core.model.RequestOutcome
import org.camphorhall.core.model.TenantName
import org.camphorhall.core.policy.AgentPolicy
import org.camphorhall.wire.loadReport
import org.camphorhall.wire.proto.AgentGrpcKt
import org.camphorhall.wire.proto.CommandReply
import org.camphorhall.wire.proto.CommandRequest
import org.camphorhall.wire.proto.ConfigState
import org.camphorhall.wire.proto.ConfigUpdate
import org.camphorhall.wire.proto.ExecuteReply
import org.camphorhall.wire.proto.ExecuteRequest
import org.camphorhall.wire.proto.LeaveReply
import org.camphorhall.wire.proto.LeaveRequest
import org.camphorhall.wire.proto.PingReply
import org.camphorhall.wire.proto.PingRequest
import org.camphorhall.wire.proto.WithdrawReply
import org.camphorhall.wire.proto.WithdrawRequest
import org.camphorhall.wire.reasonCode
import org.camphorhall.wire.toMessage
import org.camphorhall.wire.toModel

/** gRPC service of the agent: requests, withdrawals, commands, configuration, probes and drain. */
internal class AgentService(
    private val loop: AgentLoop,
    private val requests: PendingRequests,
    private val policy: AgentPolicy,
    private val clock: () -> MonotonicInstant,
    private val metrics: AgentMetrics,
    private val leave: () -> Unit,
) : AgentGrpcKt.AgentCoroutineImplBase() {
    override suspend fun execute(request: ExecuteRequest): ExecuteReply {
        val id = RequestId(request.requestId)
        if (!requests.register(id, request.body.toByteArray())) {
            return replyBuilder(request.requestId, RequestOutcome.Unknown(Reason.Duplicate)).build()
        }
        val r = Request(
            id,
            ClassName(request.className),
            TenantName(request.tenant),
            MonotonicInstant(request.deadlineNanos),
            request.idempotent,
        )
        loop.send(AgentEvent.RequestArrived(r, request.incarnation))
        val (response, body) = requests.await(id)
        metrics.recordResponse(r, response)
        return replyBuilder(request.requestId, response.outcome)
            .setBody(ByteString.copyFrom(body))
            .setQueueMicros(response.queueTime.inWholeMicroseconds)
            .setRunMicros(response.runTime.inWholeMicroseconds)
            .setLoad(loop.state.loadReport(policy, clock()))
            .build()
    }

    private fun replyBuilder(id: String, outcome: RequestOutcome): ExecuteReply.Builder {
        val retryAfterMillis = (outcome as? RequestOutcome.NotRun)?.retryAfter?.inWholeMilliseconds ?: 0
        return ExecuteReply.newBuilder()
            .setRequestId(id)
            .setOutcome(outcome.code)
            .setReason(outcome.reasonCode)
            .setRetryAfterMillis(retryAfterMillis)
    }

    override suspend fun withdraw(request: WithdrawRequest): WithdrawReply {
        val id = RequestId(request.requestId)
        val notRun: CompletableDeferred<Boolean> = requests.registerWithdrawal(id)
        val deadline = MonotonicInstant(request.deadlineNanos)
        loop.send(AgentEvent.RequestWithdrawn(id, request.incarnation, deadline))
        return WithdrawReply.newBuilder().setNotRun(notRun.await()).build()
    }

    override suspend fun command(request: CommandRequest): CommandReply {
        loop.send(
            AgentEvent.CommandReceived(
                incarnation = request.incarnation,
                anchor = MonotonicInstant(request.anchorNanos),
                starts = request.startsList.map { it.toModel() },
                stops = request.stopsList.map { it.toModel() },
            ),
        )
        return CommandReply.getDefaultInstance()
    }

    override suspend fun offerConfig(request: ConfigUpdate): ConfigState {
        loop.send(AgentEvent.ConfigReceived(request.toModel()))
        val current = loop.state.config
        val state = ConfigState.newBuilder().setVersion(current.version)
        // An entry that started during a store outage gets the configuration from the agents.
        if (request.version < current.version) state.setNewer(current.updateSince(request.version).toMessage())
        return state.build()
    }

    override suspend fun ping(request: PingRequest): PingReply = PingReply.getDefaultInstance()

    override suspend fun leave(request: LeaveRequest): LeaveReply {
        leave()
        return LeaveReply.newBuilder().setDraining(true).build()
    }
}
