package org.camphorhall.wire.proto;

import static io.grpc.MethodDescriptor.generateFullMethodName;

/**
 * <pre>
 * Served by the agent on each worker.
 * </pre>
 */
@io.grpc.stub.annotations.GrpcGenerated
public final class AgentGrpc {

  private AgentGrpc() {}

  public static final java.lang.String SERVICE_NAME = "camphorhall.v1.Agent";

  // Static method descriptors that strictly reflect the proto.
  private static volatile io.grpc.MethodDescriptor<org.camphorhall.wire.proto.ExecuteRequest,
      org.camphorhall.wire.proto.ExecuteReply> getExecuteMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "Execute",
      requestType = org.camphorhall.wire.proto.ExecuteRequest.class,
      responseType = org.camphorhall.wire.proto.ExecuteReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.camphorhall.wire.proto.ExecuteRequest,
      org.camphorhall.wire.proto.ExecuteReply> getExecuteMethod() {
    io.grpc.MethodDescriptor<org.camphorhall.wire.proto.ExecuteRequest, org.camphorhall.wire.proto.ExecuteReply> getExecuteMethod;
    if ((getExecuteMethod = AgentGrpc.getExecuteMethod) == null) {
      synchronized (AgentGrpc.class) {
        if ((getExecuteMethod = AgentGrpc.getExecuteMethod) == null) {
          AgentGrpc.getExecuteMethod = getExecuteMethod =
              io.grpc.MethodDescriptor.<org.camphorhall.wire.proto.ExecuteRequest, org.camphorhall.wire.proto.ExecuteReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "Execute"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.camphorhall.wire.proto.ExecuteRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.camphorhall.wire.proto.ExecuteReply.getDefaultInstance()))
              .setSchemaDescriptor(new AgentMethodDescriptorSupplier("Execute"))
              .build();
        }
      }
    }
    return getExecuteMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.camphorhall.wire.proto.WithdrawRequest,
      org.camphorhall.wire.proto.WithdrawReply> getWithdrawMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "Withdraw",
      requestType = org.camphorhall.wire.proto.WithdrawRequest.class,
      responseType = org.camphorhall.wire.proto.WithdrawReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.camphorhall.wire.proto.WithdrawRequest,
      org.camphorhall.wire.proto.WithdrawReply> getWithdrawMethod() {
    io.grpc.MethodDescriptor<org.camphorhall.wire.proto.WithdrawRequest, org.camphorhall.wire.proto.WithdrawReply> getWithdrawMethod;
    if ((getWithdrawMethod = AgentGrpc.getWithdrawMethod) == null) {
      synchronized (AgentGrpc.class) {
        if ((getWithdrawMethod = AgentGrpc.getWithdrawMethod) == null) {
          AgentGrpc.getWithdrawMethod = getWithdrawMethod =
              io.grpc.MethodDescriptor.<org.camphorhall.wire.proto.WithdrawRequest, org.camphorhall.wire.proto.WithdrawReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "Withdraw"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.camphorhall.wire.proto.WithdrawRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.camphorhall.wire.proto.WithdrawReply.getDefaultInstance()))
              .setSchemaDescriptor(new AgentMethodDescriptorSupplier("Withdraw"))
              .build();
        }
      }
    }
    return getWithdrawMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.camphorhall.wire.proto.CommandRequest,
      org.camphorhall.wire.proto.CommandReply> getCommandMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "Command",
      requestType = org.camphorhall.wire.proto.CommandRequest.class,
      responseType = org.camphorhall.wire.proto.CommandReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.camphorhall.wire.proto.CommandRequest,
      org.camphorhall.wire.proto.CommandReply> getCommandMethod() {
    io.grpc.MethodDescriptor<org.camphorhall.wire.proto.CommandRequest, org.camphorhall.wire.proto.CommandReply> getCommandMethod;
    if ((getCommandMethod = AgentGrpc.getCommandMethod) == null) {
      synchronized (AgentGrpc.class) {
        if ((getCommandMethod = AgentGrpc.getCommandMethod) == null) {
          AgentGrpc.getCommandMethod = getCommandMethod =
              io.grpc.MethodDescriptor.<org.camphorhall.wire.proto.CommandRequest, org.camphorhall.wire.proto.CommandReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "Command"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.camphorhall.wire.proto.CommandRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.camphorhall.wire.proto.CommandReply.getDefaultInstance()))
              .setSchemaDescriptor(new AgentMethodDescriptorSupplier("Command"))
              .build();
        }
      }
    }
    return getCommandMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.camphorhall.wire.proto.ConfigUpdate,
      org.camphorhall.wire.proto.ConfigState> getOfferConfigMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "OfferConfig",
      requestType = org.camphorhall.wire.proto.ConfigUpdate.class,
      responseType = org.camphorhall.wire.proto.ConfigState.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.camphorhall.wire.proto.ConfigUpdate,
      org.camphorhall.wire.proto.ConfigState> getOfferConfigMethod() {
    io.grpc.MethodDescriptor<org.camphorhall.wire.proto.ConfigUpdate, org.camphorhall.wire.proto.ConfigState> getOfferConfigMethod;
    if ((getOfferConfigMethod = AgentGrpc.getOfferConfigMethod) == null) {
      synchronized (AgentGrpc.class) {
        if ((getOfferConfigMethod = AgentGrpc.getOfferConfigMethod) == null) {
          AgentGrpc.getOfferConfigMethod = getOfferConfigMethod =
              io.grpc.MethodDescriptor.<org.camphorhall.wire.proto.ConfigUpdate, org.camphorhall.wire.proto.ConfigState>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "OfferConfig"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.camphorhall.wire.proto.ConfigUpdate.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.camphorhall.wire.proto.ConfigState.getDefaultInstance()))
              .setSchemaDescriptor(new AgentMethodDescriptorSupplier("OfferConfig"))
              .build();
        }
      }
    }
    return getOfferConfigMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.camphorhall.wire.proto.LeaveRequest,
      org.camphorhall.wire.proto.LeaveReply> getLeaveMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "Leave",
      requestType = org.camphorhall.wire.proto.LeaveRequest.class,
      responseType = org.camphorhall.wire.proto.LeaveReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.camphorhall.wire.proto.LeaveRequest,
      org.camphorhall.wire.proto.LeaveReply> getLeaveMethod() {
    io.grpc.MethodDescriptor<org.camphorhall.wire.proto.LeaveRequest, org.camphorhall.wire.proto.LeaveReply> getLeaveMethod;
    if ((getLeaveMethod = AgentGrpc.getLeaveMethod) == null) {
      synchronized (AgentGrpc.class) {
        if ((getLeaveMethod = AgentGrpc.getLeaveMethod) == null) {
          AgentGrpc.getLeaveMethod = getLeaveMethod =
              io.grpc.MethodDescriptor.<org.camphorhall.wire.proto.LeaveRequest, org.camphorhall.wire.proto.LeaveReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "Leave"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.camphorhall.wire.proto.LeaveRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.camphorhall.wire.proto.LeaveReply.getDefaultInstance()))
              .setSchemaDescriptor(new AgentMethodDescriptorSupplier("Leave"))
              .build();
        }
      }
    }
    return getLeaveMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.camphorhall.wire.proto.PingRequest,
      org.camphorhall.wire.proto.PingReply> getPingMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "Ping",
      requestType = org.camphorhall.wire.proto.PingRequest.class,
      responseType = org.camphorhall.wire.proto.PingReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.camphorhall.wire.proto.PingRequest,
      org.camphorhall.wire.proto.PingReply> getPingMethod() {
    io.grpc.MethodDescriptor<org.camphorhall.wire.proto.PingRequest, org.camphorhall.wire.proto.PingReply> getPingMethod;
    if ((getPingMethod = AgentGrpc.getPingMethod) == null) {
      synchronized (AgentGrpc.class) {
        if ((getPingMethod = AgentGrpc.getPingMethod) == null) {
          AgentGrpc.getPingMethod = getPingMethod =
              io.grpc.MethodDescriptor.<org.camphorhall.wire.proto.PingRequest, org.camphorhall.wire.proto.PingReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "Ping"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.camphorhall.wire.proto.PingRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.camphorhall.wire.proto.PingReply.getDefaultInstance()))
              .setSchemaDescriptor(new AgentMethodDescriptorSupplier("Ping"))
              .build();
        }
      }
    }
    return getPingMethod;
  }

  /**
   * Creates a new async stub that supports all call types for the service
   */
  public static AgentStub newStub(io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<AgentStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<AgentStub>() {
        @java.lang.Override
        public AgentStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new AgentStub(channel, callOptions);
        }
      };
    return AgentStub.newStub(factory, channel);
  }

  /**
   * Creates a new blocking-style stub that supports all types of calls on the service
   */
  public static AgentBlockingV2Stub newBlockingV2Stub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<AgentBlockingV2Stub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<AgentBlockingV2Stub>() {
        @java.lang.Override
        public AgentBlockingV2Stub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new AgentBlockingV2Stub(channel, callOptions);
        }
      };
    return AgentBlockingV2Stub.newStub(factory, channel);
  }

  /**
   * Creates a new blocking-style stub that supports unary and streaming output calls on the service
   */
  public static AgentBlockingStub newBlockingStub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<AgentBlockingStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<AgentBlockingStub>() {
        @java.lang.Override
        public AgentBlockingStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new AgentBlockingStub(channel, callOptions);
        }
      };
    return AgentBlockingStub.newStub(factory, channel);
  }

  /**
   * Creates a new ListenableFuture-style stub that supports unary calls on the service
   */
  public static AgentFutureStub newFutureStub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<AgentFutureStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<AgentFutureStub>() {
        @java.lang.Override
        public AgentFutureStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new AgentFutureStub(channel, callOptions);
        }
      };
    return AgentFutureStub.newStub(factory, channel);
  }

  /**
   * <pre>
   * Served by the agent on each worker.
   * </pre>
   */
  public interface AsyncService {

    /**
     * <pre>
     * Runs one request on a backend server of this worker, or refuses it.
     * </pre>
     */
    default void execute(org.camphorhall.wire.proto.ExecuteRequest request,
        io.grpc.stub.StreamObserver<org.camphorhall.wire.proto.ExecuteReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getExecuteMethod(), responseObserver);
    }

    /**
     * <pre>
     * Gives up a request that the agent has not dispatched yet.
     * </pre>
     */
    default void withdraw(org.camphorhall.wire.proto.WithdrawRequest request,
        io.grpc.stub.StreamObserver<org.camphorhall.wire.proto.WithdrawReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getWithdrawMethod(), responseObserver);
    }

    /**
     * <pre>
     * Starts and stops attempts of batch tasks.
     * </pre>
     */
    default void command(org.camphorhall.wire.proto.CommandRequest request,
        io.grpc.stub.StreamObserver<org.camphorhall.wire.proto.CommandReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getCommandMethod(), responseObserver);
    }

    /**
     * <pre>
     * Offers configuration items newer than those the agent holds.
     * </pre>
     */
    default void offerConfig(org.camphorhall.wire.proto.ConfigUpdate request,
        io.grpc.stub.StreamObserver<org.camphorhall.wire.proto.ConfigState> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getOfferConfigMethod(), responseObserver);
    }

    /**
     * <pre>
     * Puts the worker into drain.
     * </pre>
     */
    default void leave(org.camphorhall.wire.proto.LeaveRequest request,
        io.grpc.stub.StreamObserver<org.camphorhall.wire.proto.LeaveReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getLeaveMethod(), responseObserver);
    }

    /**
     * <pre>
     * Tells whether the connection still carries messages.
     * </pre>
     */
    default void ping(org.camphorhall.wire.proto.PingRequest request,
        io.grpc.stub.StreamObserver<org.camphorhall.wire.proto.PingReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getPingMethod(), responseObserver);
    }
  }

  /**
   * Base class for the server implementation of the service Agent.
   * <pre>
   * Served by the agent on each worker.
   * </pre>
   */
  public static abstract class AgentImplBase
      implements io.grpc.BindableService, AsyncService {

    @java.lang.Override public final io.grpc.ServerServiceDefinition bindService() {
      return AgentGrpc.bindService(this);
    }
  }

  /**
   * A stub to allow clients to do asynchronous rpc calls to service Agent.
   * <pre>
   * Served by the agent on each worker.
   * </pre>
   */
  public static final class AgentStub
      extends io.grpc.stub.AbstractAsyncStub<AgentStub> {
    private AgentStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected AgentStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new AgentStub(channel, callOptions);
    }

    /**
     * <pre>
     * Runs one request on a backend server of this worker, or refuses it.
     * </pre>
     */
    public void execute(org.camphorhall.wire.proto.ExecuteRequest request,
        io.grpc.stub.StreamObserver<org.camphorhall.wire.proto.ExecuteReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getExecuteMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     * <pre>
     * Gives up a request that the agent has not dispatched yet.
     * </pre>
     */
    public void withdraw(org.camphorhall.wire.proto.WithdrawRequest request,
        io.grpc.stub.StreamObserver<org.camphorhall.wire.proto.WithdrawReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getWithdrawMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     * <pre>
     * Starts and stops attempts of batch tasks.
     * </pre>
     */
    public void command(org.camphorhall.wire.proto.CommandRequest request,
        io.grpc.stub.StreamObserver<org.camphorhall.wire.proto.CommandReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getCommandMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     * <pre>
     * Offers configuration items newer than those the agent holds.
     * </pre>
     */
    public void offerConfig(org.camphorhall.wire.proto.ConfigUpdate request,
        io.grpc.stub.StreamObserver<org.camphorhall.wire.proto.ConfigState> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getOfferConfigMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     * <pre>
     * Puts the worker into drain.
     * </pre>
     */
    public void leave(org.camphorhall.wire.proto.LeaveRequest request,
        io.grpc.stub.StreamObserver<org.camphorhall.wire.proto.LeaveReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getLeaveMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     * <pre>
     * Tells whether the connection still carries messages.
     * </pre>
     */
    public void ping(org.camphorhall.wire.proto.PingRequest request,
        io.grpc.stub.StreamObserver<org.camphorhall.wire.proto.PingReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getPingMethod(), getCallOptions()), request, responseObserver);
    }
  }

  /**
   * A stub to allow clients to do synchronous rpc calls to service Agent.
   * <pre>
   * Served by the agent on each worker.
   * </pre>
   */
  public static final class AgentBlockingV2Stub
      extends io.grpc.stub.AbstractBlockingStub<AgentBlockingV2Stub> {
    private AgentBlockingV2Stub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected AgentBlockingV2Stub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new AgentBlockingV2Stub(channel, callOptions);
    }

    /**
     * <pre>
     * Runs one request on a backend server of this worker, or refuses it.
     * </pre>
     */
    public org.camphorhall.wire.proto.ExecuteReply execute(org.camphorhall.wire.proto.ExecuteRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getExecuteMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Gives up a request that the agent has not dispatched yet.
     * </pre>
     */
    public org.camphorhall.wire.proto.WithdrawReply withdraw(org.camphorhall.wire.proto.WithdrawRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getWithdrawMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Starts and stops attempts of batch tasks.
     * </pre>
     */
    public org.camphorhall.wire.proto.CommandReply command(org.camphorhall.wire.proto.CommandRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getCommandMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Offers configuration items newer than those the agent holds.
     * </pre>
     */
    public org.camphorhall.wire.proto.ConfigState offerConfig(org.camphorhall.wire.proto.ConfigUpdate request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getOfferConfigMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Puts the worker into drain.
     * </pre>
     */
    public org.camphorhall.wire.proto.LeaveReply leave(org.camphorhall.wire.proto.LeaveRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getLeaveMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Tells whether the connection still carries messages.
     * </pre>
     */
    public org.camphorhall.wire.proto.PingReply ping(org.camphorhall.wire.proto.PingRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getPingMethod(), getCallOptions(), request);
    }
  }

  /**
   * A stub to allow clients to do limited synchronous rpc calls to service Agent.
   * <pre>
   * Served by the agent on each worker.
   * </pre>
   */
  public static final class AgentBlockingStub
      extends io.grpc.stub.AbstractBlockingStub<AgentBlockingStub> {
    private AgentBlockingStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected AgentBlockingStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new AgentBlockingStub(channel, callOptions);
    }

    /**
     * <pre>
     * Runs one request on a backend server of this worker, or refuses it.
     * </pre>
     */
    public org.camphorhall.wire.proto.ExecuteReply execute(org.camphorhall.wire.proto.ExecuteRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getExecuteMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Gives up a request that the agent has not dispatched yet.
     * </pre>
     */
    public org.camphorhall.wire.proto.WithdrawReply withdraw(org.camphorhall.wire.proto.WithdrawRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getWithdrawMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Starts and stops attempts of batch tasks.
     * </pre>
     */
    public org.camphorhall.wire.proto.CommandReply command(org.camphorhall.wire.proto.CommandRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getCommandMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Offers configuration items newer than those the agent holds.
     * </pre>
     */
    public org.camphorhall.wire.proto.ConfigState offerConfig(org.camphorhall.wire.proto.ConfigUpdate request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getOfferConfigMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Puts the worker into drain.
     * </pre>
     */
    public org.camphorhall.wire.proto.LeaveReply leave(org.camphorhall.wire.proto.LeaveRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getLeaveMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Tells whether the connection still carries messages.
     * </pre>
     */
    public org.camphorhall.wire.proto.PingReply ping(org.camphorhall.wire.proto.PingRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getPingMethod(), getCallOptions(), request);
    }
  }

  /**
   * A stub to allow clients to do ListenableFuture-style rpc calls to service Agent.
   * <pre>
   * Served by the agent on each worker.
   * </pre>
   */
  public static final class AgentFutureStub
      extends io.grpc.stub.AbstractFutureStub<AgentFutureStub> {
    private AgentFutureStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected AgentFutureStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new AgentFutureStub(channel, callOptions);
    }

    /**
     * <pre>
     * Runs one request on a backend server of this worker, or refuses it.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<org.camphorhall.wire.proto.ExecuteReply> execute(
        org.camphorhall.wire.proto.ExecuteRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getExecuteMethod(), getCallOptions()), request);
    }

    /**
     * <pre>
     * Gives up a request that the agent has not dispatched yet.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<org.camphorhall.wire.proto.WithdrawReply> withdraw(
        org.camphorhall.wire.proto.WithdrawRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getWithdrawMethod(), getCallOptions()), request);
    }

    /**
     * <pre>
     * Starts and stops attempts of batch tasks.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<org.camphorhall.wire.proto.CommandReply> command(
        org.camphorhall.wire.proto.CommandRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getCommandMethod(), getCallOptions()), request);
    }

    /**
     * <pre>
     * Offers configuration items newer than those the agent holds.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<org.camphorhall.wire.proto.ConfigState> offerConfig(
        org.camphorhall.wire.proto.ConfigUpdate request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getOfferConfigMethod(), getCallOptions()), request);
    }

    /**
     * <pre>
     * Puts the worker into drain.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<org.camphorhall.wire.proto.LeaveReply> leave(
        org.camphorhall.wire.proto.LeaveRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getLeaveMethod(), getCallOptions()), request);
    }

    /**
     * <pre>
     * Tells whether the connection still carries messages.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<org.camphorhall.wire.proto.PingReply> ping(
        org.camphorhall.wire.proto.PingRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getPingMethod(), getCallOptions()), request);
    }
  }

  private static final int METHODID_EXECUTE = 0;
  private static final int METHODID_WITHDRAW = 1;
  private static final int METHODID_COMMAND = 2;
  private static final int METHODID_OFFER_CONFIG = 3;
  private static final int METHODID_LEAVE = 4;
  private static final int METHODID_PING = 5;

  private static final class MethodHandlers<Req, Resp> implements
      io.grpc.stub.ServerCalls.UnaryMethod<Req, Resp>,
      io.grpc.stub.ServerCalls.ServerStreamingMethod<Req, Resp>,
      io.grpc.stub.ServerCalls.ClientStreamingMethod<Req, Resp>,
      io.grpc.stub.ServerCalls.BidiStreamingMethod<Req, Resp> {
    private final AsyncService serviceImpl;
    private final int methodId;

    MethodHandlers(AsyncService serviceImpl, int methodId) {
      this.serviceImpl = serviceImpl;
      this.methodId = methodId;
    }

    @java.lang.Override
    @java.lang.SuppressWarnings("unchecked")
    public void invoke(Req request, io.grpc.stub.StreamObserver<Resp> responseObserver) {
      switch (methodId) {
        case METHODID_EXECUTE:
          serviceImpl.execute((org.camphorhall.wire.proto.ExecuteRequest) request,
              (io.grpc.stub.StreamObserver<org.camphorhall.wire.proto.ExecuteReply>) responseObserver);
          break;
        case METHODID_WITHDRAW:
          serviceImpl.withdraw((org.camphorhall.wire.proto.WithdrawRequest) request,
              (io.grpc.stub.StreamObserver<org.camphorhall.wire.proto.WithdrawReply>) responseObserver);
          break;
        case METHODID_COMMAND:
          serviceImpl.command((org.camphorhall.wire.proto.CommandRequest) request,
              (io.grpc.stub.StreamObserver<org.camphorhall.wire.proto.CommandReply>) responseObserver);
          break;
        case METHODID_OFFER_CONFIG:
          serviceImpl.offerConfig((org.camphorhall.wire.proto.ConfigUpdate) request,
              (io.grpc.stub.StreamObserver<org.camphorhall.wire.proto.ConfigState>) responseObserver);
          break;
        case METHODID_LEAVE:
          serviceImpl.leave((org.camphorhall.wire.proto.LeaveRequest) request,
              (io.grpc.stub.StreamObserver<org.camphorhall.wire.proto.LeaveReply>) responseObserver);
          break;
        case METHODID_PING:
          serviceImpl.ping((org.camphorhall.wire.proto.PingRequest) request,
              (io.grpc.stub.StreamObserver<org.camphorhall.wire.proto.PingReply>) responseObserver);
          break;
        default:
          throw new AssertionError();
      }
    }

    @java.lang.Override
    @java.lang.SuppressWarnings("unchecked")
    public io.grpc.stub.StreamObserver<Req> invoke(
        io.grpc.stub.StreamObserver<Resp> responseObserver) {
      switch (methodId) {
        default:
          throw new AssertionError();
      }
    }
  }

  public static final io.grpc.ServerServiceDefinition bindService(AsyncService service) {
    return io.grpc.ServerServiceDefinition.builder(getServiceDescriptor())
        .addMethod(
          getExecuteMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.camphorhall.wire.proto.ExecuteRequest,
              org.camphorhall.wire.proto.ExecuteReply>(
                service, METHODID_EXECUTE)))
        .addMethod(
          getWithdrawMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.camphorhall.wire.proto.WithdrawRequest,
              org.camphorhall.wire.proto.WithdrawReply>(
                service, METHODID_WITHDRAW)))
        .addMethod(
          getCommandMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.camphorhall.wire.proto.CommandRequest,
              org.camphorhall.wire.proto.CommandReply>(
                service, METHODID_COMMAND)))
        .addMethod(
          getOfferConfigMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.camphorhall.wire.proto.ConfigUpdate,
              org.camphorhall.wire.proto.ConfigState>(
                service, METHODID_OFFER_CONFIG)))
        .addMethod(
          getLeaveMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.camphorhall.wire.proto.LeaveRequest,
              org.camphorhall.wire.proto.LeaveReply>(
                service, METHODID_LEAVE)))
        .addMethod(
          getPingMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.camphorhall.wire.proto.PingRequest,
              org.camphorhall.wire.proto.PingReply>(
                service, METHODID_PING)))
        .build();
  }

  private static abstract class AgentBaseDescriptorSupplier
      implements io.grpc.protobuf.ProtoFileDescriptorSupplier, io.grpc.protobuf.ProtoServiceDescriptorSupplier {
    AgentBaseDescriptorSupplier() {}

    @java.lang.Override
    public com.google.protobuf.Descriptors.FileDescriptor getFileDescriptor() {
      return org.camphorhall.wire.proto.Camphorhall.getDescriptor();
    }

    @java.lang.Override
    public com.google.protobuf.Descriptors.ServiceDescriptor getServiceDescriptor() {
      return getFileDescriptor().findServiceByName("Agent");
    }
  }

  private static final class AgentFileDescriptorSupplier
      extends AgentBaseDescriptorSupplier {
    AgentFileDescriptorSupplier() {}
  }

  private static final class AgentMethodDescriptorSupplier
      extends AgentBaseDescriptorSupplier
      implements io.grpc.protobuf.ProtoMethodDescriptorSupplier {
    private final java.lang.String methodName;

    AgentMethodDescriptorSupplier(java.lang.String methodName) {
      this.methodName = methodName;
    }

    @java.lang.Override
    public com.google.protobuf.Descriptors.MethodDescriptor getMethodDescriptor() {
      return getServiceDescriptor().findMethodByName(methodName);
    }
  }

  private static volatile io.grpc.ServiceDescriptor serviceDescriptor;

  public static io.grpc.ServiceDescriptor getServiceDescriptor() {
    io.grpc.ServiceDescriptor result = serviceDescriptor;
    if (result == null) {
      synchronized (AgentGrpc.class) {
        result = serviceDescriptor;
        if (result == null) {
          serviceDescriptor = result = io.grpc.ServiceDescriptor.newBuilder(SERVICE_NAME)
              .setSchemaDescriptor(new AgentFileDescriptorSupplier())
              .addMethod(getExecuteMethod())
              .addMethod(getWithdrawMethod())
              .addMethod(getCommandMethod())
              .addMethod(getOfferConfigMethod())
              .addMethod(getLeaveMethod())
              .addMethod(getPingMethod())
              .build();
        }
      }
    }
    return result;
  }
}
