package org.camphorhall.wire.proto

import io.grpc.CallOptions
import io.grpc.CallOptions.DEFAULT
import io.grpc.Channel
import io.grpc.Metadata
import io.grpc.MethodDescriptor
import io.grpc.ServerServiceDefinition
import io.grpc.ServerServiceDefinition.builder
import io.grpc.ServiceDescriptor
import io.grpc.Status.UNIMPLEMENTED
import io.grpc.StatusException
import io.grpc.kotlin.AbstractCoroutineServerImpl
import io.grpc.kotlin.AbstractCoroutineStub
import io.grpc.kotlin.ClientCalls.bidiStreamingRpc
import io.grpc.kotlin.ClientCalls.unaryRpc
import io.grpc.kotlin.ServerCalls.bidiStreamingServerMethodDefinition
import io.grpc.kotlin.ServerCalls.unaryServerMethodDefinition
import io.grpc.kotlin.StubFor
import kotlin.String
import kotlin.coroutines.CoroutineContext
import kotlin.coroutines.EmptyCoroutineContext
import kotlin.jvm.JvmOverloads
import kotlin.jvm.JvmStatic
import kotlinx.coroutines.flow.Flow
import org.camphorhall.wire.proto.AgentGrpc.getServiceDescriptor as agentGrpcGetServiceDescriptor
import org.camphorhall.wire.proto.EntryGrpc.getServiceDescriptor as entryGrpcGetServiceDescriptor
import org.camphorhall.wire.proto.SchedulerGrpc.getServiceDescriptor as schedulerGrpcGetServiceDescriptor

/**
 * Holder for Kotlin coroutine-based client and server APIs for camphorhall.v1.Agent.
 */
public object AgentGrpcKt {
  public const val SERVICE_NAME: String = AgentGrpc.SERVICE_NAME

  @JvmStatic
  public val serviceDescriptor: ServiceDescriptor
    get() = agentGrpcGetServiceDescriptor()

  public val executeMethod: MethodDescriptor<ExecuteRequest, ExecuteReply>
    @JvmStatic
    get() = AgentGrpc.getExecuteMethod()

  public val withdrawMethod: MethodDescriptor<WithdrawRequest, WithdrawReply>
    @JvmStatic
    get() = AgentGrpc.getWithdrawMethod()

  public val commandMethod: MethodDescriptor<CommandRequest, CommandReply>
    @JvmStatic
    get() = AgentGrpc.getCommandMethod()

  public val offerConfigMethod: MethodDescriptor<ConfigUpdate, ConfigState>
    @JvmStatic
    get() = AgentGrpc.getOfferConfigMethod()

  public val leaveMethod: MethodDescriptor<LeaveRequest, LeaveReply>
    @JvmStatic
    get() = AgentGrpc.getLeaveMethod()

  public val pingMethod: MethodDescriptor<PingRequest, PingReply>
    @JvmStatic
    get() = AgentGrpc.getPingMethod()

  /**
   * A stub for issuing RPCs to a(n) camphorhall.v1.Agent service as suspending coroutines.
   */
  @StubFor(AgentGrpc::class)
  public class AgentCoroutineStub @JvmOverloads constructor(
    channel: Channel,
    callOptions: CallOptions = DEFAULT,
  ) : AbstractCoroutineStub<AgentCoroutineStub>(channel, callOptions) {
    override fun build(channel: Channel, callOptions: CallOptions): AgentCoroutineStub = AgentCoroutineStub(channel, callOptions)

    /**
     * Executes this RPC and returns the response message, suspending until the RPC completes
     * with [`Status.OK`][io.grpc.Status].  If the RPC completes with another status, a corresponding
     * [StatusException] is thrown.  If this coroutine is cancelled, the RPC is also cancelled
     * with the corresponding exception as a cause.
     *
     * @param request The request message to send to the server.
     *
     * @param headers Metadata to attach to the request.  Most users will not need this.
     *
     * @return The single response from the server.
     */
    public suspend fun execute(request: ExecuteRequest, headers: Metadata = Metadata()): ExecuteReply = unaryRpc(
      channel,
      AgentGrpc.getExecuteMethod(),
      request,
      callOptions,
      headers
    )

    /**
     * Executes this RPC and returns the response message, suspending until the RPC completes
     * with [`Status.OK`][io.grpc.Status].  If the RPC completes with another status, a corresponding
     * [StatusException] is thrown.  If this coroutine is cancelled, the RPC is also cancelled
     * with the corresponding exception as a cause.
     *
     * @param request The request message to send to the server.
     *
     * @param headers Metadata to attach to the request.  Most users will not need this.
     *
     * @return The single response from the server.
     */
    public suspend fun withdraw(request: WithdrawRequest, headers: Metadata = Metadata()): WithdrawReply = unaryRpc(
      channel,
      AgentGrpc.getWithdrawMethod(),
      request,
      callOptions,
      headers
    )

    /**
     * Executes this RPC and returns the response message, suspending until the RPC completes
     * with [`Status.OK`][io.grpc.Status].  If the RPC completes with another status, a corresponding
     * [StatusException] is thrown.  If this coroutine is cancelled, the RPC is also cancelled
     * with the corresponding exception as a cause.
     *
     * @param request The request message to send to the server.
     *
     * @param headers Metadata to attach to the request.  Most users will not need this.
     *
     * @return The single response from the server.
     */
    public suspend fun command(request: CommandRequest, headers: Metadata = Metadata()): CommandReply = unaryRpc(
      channel,
      AgentGrpc.getCommandMethod(),
      request,
      callOptions,
      headers
    )

    /**
     * Executes this RPC and returns the response message, suspending until the RPC completes
     * with [`Status.OK`][io.grpc.Status].  If the RPC completes with another status, a corresponding
     * [StatusException] is thrown.  If this coroutine is cancelled, the RPC is also cancelled
     * with the corresponding exception as a cause.
     *
     * @param request The request message to send to the server.
     *
     * @param headers Metadata to attach to the request.  Most users will not need this.
     *
     * @return The single response from the server.
     */
    public suspend fun offerConfig(request: ConfigUpdate, headers: Metadata = Metadata()): ConfigState = unaryRpc(
      channel,
      AgentGrpc.getOfferConfigMethod(),
      request,
      callOptions,
      headers
    )

    /**
     * Executes this RPC and returns the response message, suspending until the RPC completes
     * with [`Status.OK`][io.grpc.Status].  If the RPC completes with another status, a corresponding
     * [StatusException] is thrown.  If this coroutine is cancelled, the RPC is also cancelled
     * with the corresponding exception as a cause.
     *
     * @param request The request message to send to the server.
     *
     * @param headers Metadata to attach to the request.  Most users will not need this.
     *
     * @return The single response from the server.
     */
    public suspend fun leave(request: LeaveRequest, headers: Metadata = Metadata()): LeaveReply = unaryRpc(
      channel,
      AgentGrpc.getLeaveMethod(),
      request,
      callOptions,
      headers
    )

    /**
     * Executes this RPC and returns the response message, suspending until the RPC completes
     * with [`Status.OK`][io.grpc.Status].  If the RPC completes with another status, a corresponding
     * [StatusException] is thrown.  If this coroutine is cancelled, the RPC is also cancelled
     * with the corresponding exception as a cause.
     *
     * @param request The request message to send to the server.
     *
     * @param headers Metadata to attach to the request.  Most users will not need this.
     *
     * @return The single response from the server.
     */
    public suspend fun ping(request: PingRequest, headers: Metadata = Metadata()): PingReply = unaryRpc(
      channel,
      AgentGrpc.getPingMethod(),
      request,
      callOptions,
      headers
    )
  }

  /**
   * Skeletal implementation of the camphorhall.v1.Agent service based on Kotlin coroutines.
   */
  public abstract class AgentCoroutineImplBase(
    coroutineContext: CoroutineContext = EmptyCoroutineContext,
  ) : AbstractCoroutineServerImpl(coroutineContext) {
    /**
     * Returns the response to an RPC for camphorhall.v1.Agent.Execute.
     *
     * If this method fails with a [StatusException], the RPC will fail with the corresponding
     * [io.grpc.Status].  If this method fails with a [java.util.concurrent.CancellationException], the RPC will fail
     * with status `Status.CANCELLED`.  If this method fails for any other reason, the RPC will
     * fail with `Status.UNKNOWN` with the exception as a cause.
     *
     * @param request The request from the client.
     */
    public open suspend fun execute(request: ExecuteRequest): ExecuteReply = throw StatusException(UNIMPLEMENTED.withDescription("Method camphorhall.v1.Agent.Execute is unimplemented"))

    /**
     * Returns the response to an RPC for camphorhall.v1.Agent.Withdraw.
     *
     * If this method fails with a [StatusException], the RPC will fail with the corresponding
     * [io.grpc.Status].  If this method fails with a [java.util.concurrent.CancellationException], the RPC will fail
     * with status `Status.CANCELLED`.  If this method fails for any other reason, the RPC will
     * fail with `Status.UNKNOWN` with the exception as a cause.
     *
     * @param request The request from the client.
     */
    public open suspend fun withdraw(request: WithdrawRequest): WithdrawReply = throw StatusException(UNIMPLEMENTED.withDescription("Method camphorhall.v1.Agent.Withdraw is unimplemented"))

    /**
     * Returns the response to an RPC for camphorhall.v1.Agent.Command.
     *
     * If this method fails with a [StatusException], the RPC will fail with the corresponding
     * [io.grpc.Status].  If this method fails with a [java.util.concurrent.CancellationException], the RPC will fail
     * with status `Status.CANCELLED`.  If this method fails for any other reason, the RPC will
     * fail with `Status.UNKNOWN` with the exception as a cause.
     *
     * @param request The request from the client.
     */
    public open suspend fun command(request: CommandRequest): CommandReply = throw StatusException(UNIMPLEMENTED.withDescription("Method camphorhall.v1.Agent.Command is unimplemented"))

    /**
     * Returns the response to an RPC for camphorhall.v1.Agent.OfferConfig.
     *
     * If this method fails with a [StatusException], the RPC will fail with the corresponding
     * [io.grpc.Status].  If this method fails with a [java.util.concurrent.CancellationException], the RPC will fail
     * with status `Status.CANCELLED`.  If this method fails for any other reason, the RPC will
     * fail with `Status.UNKNOWN` with the exception as a cause.
     *
     * @param request The request from the client.
     */
    public open suspend fun offerConfig(request: ConfigUpdate): ConfigState = throw StatusException(UNIMPLEMENTED.withDescription("Method camphorhall.v1.Agent.OfferConfig is unimplemented"))

    /**
     * Returns the response to an RPC for camphorhall.v1.Agent.Leave.
     *
     * If this method fails with a [StatusException], the RPC will fail with the corresponding
     * [io.grpc.Status].  If this method fails with a [java.util.concurrent.CancellationException], the RPC will fail
     * with status `Status.CANCELLED`.  If this method fails for any other reason, the RPC will
     * fail with `Status.UNKNOWN` with the exception as a cause.
     *
     * @param request The request from the client.
     */
    public open suspend fun leave(request: LeaveRequest): LeaveReply = throw StatusException(UNIMPLEMENTED.withDescription("Method camphorhall.v1.Agent.Leave is unimplemented"))

    /**
     * Returns the response to an RPC for camphorhall.v1.Agent.Ping.
     *
     * If this method fails with a [StatusException], the RPC will fail with the corresponding
     * [io.grpc.Status].  If this method fails with a [java.util.concurrent.CancellationException], the RPC will fail
     * with status `Status.CANCELLED`.  If this method fails for any other reason, the RPC will
     * fail with `Status.UNKNOWN` with the exception as a cause.
     *
     * @param request The request from the client.
     */
    public open suspend fun ping(request: PingRequest): PingReply = throw StatusException(UNIMPLEMENTED.withDescription("Method camphorhall.v1.Agent.Ping is unimplemented"))

    final override fun bindService(): ServerServiceDefinition = builder(agentGrpcGetServiceDescriptor())
      .addMethod(unaryServerMethodDefinition(
      context = this.context,
      descriptor = AgentGrpc.getExecuteMethod(),
      implementation = ::execute
    ))
      .addMethod(unaryServerMethodDefinition(
      context = this.context,
      descriptor = AgentGrpc.getWithdrawMethod(),
      implementation = ::withdraw
    ))
      .addMethod(unaryServerMethodDefinition(
      context = this.context,
      descriptor = AgentGrpc.getCommandMethod(),
      implementation = ::command
    ))
      .addMethod(unaryServerMethodDefinition(
      context = this.context,
      descriptor = AgentGrpc.getOfferConfigMethod(),
      implementation = ::offerConfig
    ))
      .addMethod(unaryServerMethodDefinition(
      context = this.context,
      descriptor = AgentGrpc.getLeaveMethod(),
      implementation = ::leave
    ))
      .addMethod(unaryServerMethodDefinition(
      context = this.context,
      descriptor = AgentGrpc.getPingMethod(),
      implementation = ::ping
    )).build()
  }
}

/**
 * Holder for Kotlin coroutine-based client and server APIs for camphorhall.v1.Entry.
 */
public object EntryGrpcKt {
  public const val SERVICE_NAME: String = EntryGrpc.SERVICE_NAME

  @JvmStatic
  public val serviceDescriptor: ServiceDescriptor
    get() = entryGrpcGetServiceDescriptor()

  public val heartbeatMethod: MethodDescriptor<HeartbeatRequest, HeartbeatReply>
    @JvmStatic
    get() = EntryGrpc.getHeartbeatMethod()

  public val exchangeMethod: MethodDescriptor<DomainSummary, DomainSummary>
    @JvmStatic
    get() = EntryGrpc.getExchangeMethod()

  public val forwardMethod: MethodDescriptor<ShardCommand, ShardReply>
    @JvmStatic
    get() = EntryGrpc.getForwardMethod()

  /**
   * A stub for issuing RPCs to a(n) camphorhall.v1.Entry service as suspending coroutines.
   */
  @StubFor(EntryGrpc::class)
  public class EntryCoroutineStub @JvmOverloads constructor(
    channel: Channel,
    callOptions: CallOptions = DEFAULT,
  ) : AbstractCoroutineStub<EntryCoroutineStub>(channel, callOptions) {
    override fun build(channel: Channel, callOptions: CallOptions): EntryCoroutineStub = EntryCoroutineStub(channel, callOptions)

    /**
     * Executes this RPC and returns the response message, suspending until the RPC completes
     * with [`Status.OK`][io.grpc.Status].  If the RPC completes with another status, a corresponding
     * [StatusException] is thrown.  If this coroutine is cancelled, the RPC is also cancelled
     * with the corresponding exception as a cause.
     *
     * @param request The request message to send to the server.
     *
     * @param headers Metadata to attach to the request.  Most users will not need this.
     *
     * @return The single response from the server.
     */
    public suspend fun heartbeat(request: HeartbeatRequest, headers: Metadata = Metadata()): HeartbeatReply = unaryRpc(
      channel,
      EntryGrpc.getHeartbeatMethod(),
      request,
      callOptions,
      headers
    )

    /**
     * Executes this RPC and returns the response message, suspending until the RPC completes
     * with [`Status.OK`][io.grpc.Status].  If the RPC completes with another status, a corresponding
     * [StatusException] is thrown.  If this coroutine is cancelled, the RPC is also cancelled
     * with the corresponding exception as a cause.
     *
     * @param request The request message to send to the server.
     *
     * @param headers Metadata to attach to the request.  Most users will not need this.
     *
     * @return The single response from the server.
     */
    public suspend fun exchange(request: DomainSummary, headers: Metadata = Metadata()): DomainSummary = unaryRpc(
      channel,
      EntryGrpc.getExchangeMethod(),
      request,
      callOptions,
      headers
    )

    /**
     * Executes this RPC and returns the response message, suspending until the RPC completes
     * with [`Status.OK`][io.grpc.Status].  If the RPC completes with another status, a corresponding
     * [StatusException] is thrown.  If this coroutine is cancelled, the RPC is also cancelled
     * with the corresponding exception as a cause.
     *
     * @param request The request message to send to the server.
     *
     * @param headers Metadata to attach to the request.  Most users will not need this.
     *
     * @return The single response from the server.
     */
    public suspend fun forward(request: ShardCommand, headers: Metadata = Metadata()): ShardReply = unaryRpc(
      channel,
      EntryGrpc.getForwardMethod(),
      request,
      callOptions,
      headers
    )
  }

  /**
   * Skeletal implementation of the camphorhall.v1.Entry service based on Kotlin coroutines.
   */
  public abstract class EntryCoroutineImplBase(
    coroutineContext: CoroutineContext = EmptyCoroutineContext,
  ) : AbstractCoroutineServerImpl(coroutineContext) {
    /**
     * Returns the response to an RPC for camphorhall.v1.Entry.Heartbeat.
     *
     * If this method fails with a [StatusException], the RPC will fail with the corresponding
     * [io.grpc.Status].  If this method fails with a [java.util.concurrent.CancellationException], the RPC will fail
     * with status `Status.CANCELLED`.  If this method fails for any other reason, the RPC will
     * fail with `Status.UNKNOWN` with the exception as a cause.
     *
     * @param request The request from the client.
     */
    public open suspend fun heartbeat(request: HeartbeatRequest): HeartbeatReply = throw StatusException(UNIMPLEMENTED.withDescription("Method camphorhall.v1.Entry.Heartbeat is unimplemented"))

    /**
     * Returns the response to an RPC for camphorhall.v1.Entry.Exchange.
     *
     * If this method fails with a [StatusException], the RPC will fail with the corresponding
     * [io.grpc.Status].  If this method fails with a [java.util.concurrent.CancellationException], the RPC will fail
     * with status `Status.CANCELLED`.  If this method fails for any other reason, the RPC will
     * fail with `Status.UNKNOWN` with the exception as a cause.
     *
     * @param request The request from the client.
     */
    public open suspend fun exchange(request: DomainSummary): DomainSummary = throw StatusException(UNIMPLEMENTED.withDescription("Method camphorhall.v1.Entry.Exchange is unimplemented"))

    /**
     * Returns the response to an RPC for camphorhall.v1.Entry.Forward.
     *
     * If this method fails with a [StatusException], the RPC will fail with the corresponding
     * [io.grpc.Status].  If this method fails with a [java.util.concurrent.CancellationException], the RPC will fail
     * with status `Status.CANCELLED`.  If this method fails for any other reason, the RPC will
     * fail with `Status.UNKNOWN` with the exception as a cause.
     *
     * @param request The request from the client.
     */
    public open suspend fun forward(request: ShardCommand): ShardReply = throw StatusException(UNIMPLEMENTED.withDescription("Method camphorhall.v1.Entry.Forward is unimplemented"))

    final override fun bindService(): ServerServiceDefinition = builder(entryGrpcGetServiceDescriptor())
      .addMethod(unaryServerMethodDefinition(
      context = this.context,
      descriptor = EntryGrpc.getHeartbeatMethod(),
      implementation = ::heartbeat
    ))
      .addMethod(unaryServerMethodDefinition(
      context = this.context,
      descriptor = EntryGrpc.getExchangeMethod(),
      implementation = ::exchange
    ))
      .addMethod(unaryServerMethodDefinition(
      context = this.context,
      descriptor = EntryGrpc.getForwardMethod(),
      implementation = ::forward
    )).build()
  }
}

/**
 * Holder for Kotlin coroutine-based client and server APIs for camphorhall.v1.Scheduler.
 */
public object SchedulerGrpcKt {
  public const val SERVICE_NAME: String = SchedulerGrpc.SERVICE_NAME

  @JvmStatic
  public val serviceDescriptor: ServiceDescriptor
    get() = schedulerGrpcGetServiceDescriptor()

  public val attachMethod: MethodDescriptor<Document, Document>
    @JvmStatic
    get() = SchedulerGrpc.getAttachMethod()

  public val askMethod: MethodDescriptor<Document, Document>
    @JvmStatic
    get() = SchedulerGrpc.getAskMethod()

  /**
   * A stub for issuing RPCs to a(n) camphorhall.v1.Scheduler service as suspending coroutines.
   */
  @StubFor(SchedulerGrpc::class)
  public class SchedulerCoroutineStub @JvmOverloads constructor(
    channel: Channel,
    callOptions: CallOptions = DEFAULT,
  ) : AbstractCoroutineStub<SchedulerCoroutineStub>(channel, callOptions) {
    override fun build(channel: Channel, callOptions: CallOptions): SchedulerCoroutineStub = SchedulerCoroutineStub(channel, callOptions)

    /**
     * Returns a [Flow] that, when collected, executes this RPC and emits responses from the
     * server as they arrive.  That flow finishes normally if the server closes its response with
     * [`Status.OK`][io.grpc.Status], and fails by throwing a [StatusException] otherwise.  If
     * collecting the flow downstream fails exceptionally (including via cancellation), the RPC
     * is cancelled with that exception as a cause.
     *
     * The [Flow] of requests is collected once each time the [Flow] of responses is
     * collected. If collection of the [Flow] of responses completes normally or
     * exceptionally before collection of `requests` completes, the collection of
     * `requests` is cancelled.  If the collection of `requests` completes
     * exceptionally for any other reason, then the collection of the [Flow] of responses
     * completes exceptionally for the same reason and the RPC is cancelled with that reason.
     *
     * @param requests A [Flow] of request messages.
     *
     * @param headers Metadata to attach to the request.  Most users will not need this.
     *
     * @return A flow that, when collected, emits the responses from the server.
     */
    public fun attach(requests: Flow<Document>, headers: Metadata = Metadata()): Flow<Document> = bidiStreamingRpc(
      channel,
      SchedulerGrpc.getAttachMethod(),
      requests,
      callOptions,
      headers
    )

    /**
     * Executes this RPC and returns the response message, suspending until the RPC completes
     * with [`Status.OK`][io.grpc.Status].  If the RPC completes with another status, a corresponding
     * [StatusException] is thrown.  If this coroutine is cancelled, the RPC is also cancelled
     * with the corresponding exception as a cause.
     *
     * @param request The request message to send to the server.
     *
     * @param headers Metadata to attach to the request.  Most users will not need this.
     *
     * @return The single response from the server.
     */
    public suspend fun ask(request: Document, headers: Metadata = Metadata()): Document = unaryRpc(
      channel,
      SchedulerGrpc.getAskMethod(),
      request,
      callOptions,
      headers
    )
  }

  /**
   * Skeletal implementation of the camphorhall.v1.Scheduler service based on Kotlin coroutines.
   */
  public abstract class SchedulerCoroutineImplBase(
    coroutineContext: CoroutineContext = EmptyCoroutineContext,
  ) : AbstractCoroutineServerImpl(coroutineContext) {
    /**
     * Returns a [Flow] of responses to an RPC for camphorhall.v1.Scheduler.Attach.
     *
     * If creating or collecting the returned flow fails with a [StatusException], the RPC
     * will fail with the corresponding [io.grpc.Status].  If it fails with a
     * [java.util.concurrent.CancellationException], the RPC will fail with status `Status.CANCELLED`.  If creating
     * or collecting the returned flow fails for any other reason, the RPC will fail with
     * `Status.UNKNOWN` with the exception as a cause.
     *
     * @param requests A [Flow] of requests from the client.  This flow can be
     *        collected only once and throws [java.lang.IllegalStateException] on attempts to collect
     *        it more than once.
     */
    public open fun attach(requests: Flow<Document>): Flow<Document> = throw StatusException(UNIMPLEMENTED.withDescription("Method camphorhall.v1.Scheduler.Attach is unimplemented"))

    /**
     * Returns the response to an RPC for camphorhall.v1.Scheduler.Ask.
     *
     * If this method fails with a [StatusException], the RPC will fail with the corresponding
     * [io.grpc.Status].  If this method fails with a [java.util.concurrent.CancellationException], the RPC will fail
     * with status `Status.CANCELLED`.  If this method fails for any other reason, the RPC will
     * fail with `Status.UNKNOWN` with the exception as a cause.
     *
     * @param request The request from the client.
     */
    public open suspend fun ask(request: Document): Document = throw StatusException(UNIMPLEMENTED.withDescription("Method camphorhall.v1.Scheduler.Ask is unimplemented"))

    final override fun bindService(): ServerServiceDefinition = builder(schedulerGrpcGetServiceDescriptor())
      .addMethod(bidiStreamingServerMethodDefinition(
      context = this.context,
      descriptor = SchedulerGrpc.getAttachMethod(),
      implementation = ::attach
    ))
      .addMethod(unaryServerMethodDefinition(
      context = this.context,
      descriptor = SchedulerGrpc.getAskMethod(),
      implementation = ::ask
    )).build()
  }
}
