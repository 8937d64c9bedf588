package org.camphorhall.wire.proto;

import static io.grpc.MethodDescriptor.generateFullMethodName;

/**
 * <pre>
 * Served by every entry.
 * </pre>
 */
@io.grpc.stub.annotations.GrpcGenerated
public final class EntryGrpc {

  private EntryGrpc() {}

  public static final java.lang.String SERVICE_NAME = "camphorhall.v1.Entry";

  // Static method descriptors that strictly reflect the proto.
  private static volatile io.grpc.MethodDescriptor<org.camphorhall.wire.proto.HeartbeatRequest,
      org.camphorhall.wire.proto.HeartbeatReply> getHeartbeatMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "Heartbeat",
      requestType = org.camphorhall.wire.proto.HeartbeatRequest.class,
      responseType = org.camphorhall.wire.proto.HeartbeatReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.camphorhall.wire.proto.HeartbeatRequest,
      org.camphorhall.wire.proto.HeartbeatReply> getHeartbeatMethod() {
    io.grpc.MethodDescriptor<org.camphorhall.wire.proto.HeartbeatRequest, org.camphorhall.wire.proto.HeartbeatReply> getHeartbeatMethod;
    if ((getHeartbeatMethod = EntryGrpc.getHeartbeatMethod) == null) {
      synchronized (EntryGrpc.class) {
        if ((getHeartbeatMethod = EntryGrpc.getHeartbeatMethod) == null) {
          EntryGrpc.getHeartbeatMethod = getHeartbeatMethod =
              io.grpc.MethodDescriptor.<org.camphorhall.wire.proto.HeartbeatRequest, org.camphorhall.wire.proto.HeartbeatReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "Heartbeat"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.camphorhall.wire.proto.HeartbeatRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.camphorhall.wire.proto.HeartbeatReply.getDefaultInstance()))
              .setSchemaDescriptor(new EntryMethodDescriptorSupplier("Heartbeat"))
              .build();
        }
      }
    }
    return getHeartbeatMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.camphorhall.wire.proto.DomainSummary,
      org.camphorhall.wire.proto.DomainSummary> getExchangeMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "Exchange",
      requestType = org.camphorhall.wire.proto.DomainSummary.class,
      responseType = org.camphorhall.wire.proto.DomainSummary.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.camphorhall.wire.proto.DomainSummary,
      org.camphorhall.wire.proto.DomainSummary> getExchangeMethod() {
    io.grpc.MethodDescriptor<org.camphorhall.wire.proto.DomainSummary, org.camphorhall.wire.proto.DomainSummary> getExchangeMethod;
    if ((getExchangeMethod = EntryGrpc.getExchangeMethod) == null) {
      synchronized (EntryGrpc.class) {
        if ((getExchangeMethod = EntryGrpc.getExchangeMethod) == null) {
          EntryGrpc.getExchangeMethod = getExchangeMethod =
              io.grpc.MethodDescriptor.<org.camphorhall.wire.proto.DomainSummary, org.camphorhall.wire.proto.DomainSummary>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "Exchange"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.camphorhall.wire.proto.DomainSummary.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.camphorhall.wire.proto.DomainSummary.getDefaultInstance()))
              .setSchemaDescriptor(new EntryMethodDescriptorSupplier("Exchange"))
              .build();
        }
      }
    }
    return getExchangeMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.camphorhall.wire.proto.ShardCommand,
      org.camphorhall.wire.proto.ShardReply> getForwardMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "Forward",
      requestType = org.camphorhall.wire.proto.ShardCommand.class,
      responseType = org.camphorhall.wire.proto.ShardReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.camphorhall.wire.proto.ShardCommand,
      org.camphorhall.wire.proto.ShardReply> getForwardMethod() {
    io.grpc.MethodDescriptor<org.camphorhall.wire.proto.ShardCommand, org.camphorhall.wire.proto.ShardReply> getForwardMethod;
    if ((getForwardMethod = EntryGrpc.getForwardMethod) == null) {
      synchronized (EntryGrpc.class) {
        if ((getForwardMethod = EntryGrpc.getForwardMethod) == null) {
          EntryGrpc.getForwardMethod = getForwardMethod =
              io.grpc.MethodDescriptor.<org.camphorhall.wire.proto.ShardCommand, org.camphorhall.wire.proto.ShardReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "Forward"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.camphorhall.wire.proto.ShardCommand.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.camphorhall.wire.proto.ShardReply.getDefaultInstance()))
              .setSchemaDescriptor(new EntryMethodDescriptorSupplier("Forward"))
              .build();
        }
      }
    }
    return getForwardMethod;
  }

  /**
   * Creates a new async stub that supports all call types for the service
   */
  public static EntryStub newStub(io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<EntryStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<EntryStub>() {
        @java.lang.Override
        public EntryStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new EntryStub(channel, callOptions);
        }
      };
    return EntryStub.newStub(factory, channel);
  }

  /**
   * Creates a new blocking-style stub that supports all types of calls on the service
   */
  public static EntryBlockingV2Stub newBlockingV2Stub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<EntryBlockingV2Stub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<EntryBlockingV2Stub>() {
        @java.lang.Override
        public EntryBlockingV2Stub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new EntryBlockingV2Stub(channel, callOptions);
        }
      };
    return EntryBlockingV2Stub.newStub(factory, channel);
  }

  /**
   * Creates a new blocking-style stub that supports unary and streaming output calls on the service
   */
  public static EntryBlockingStub newBlockingStub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<EntryBlockingStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<EntryBlockingStub>() {
        @java.lang.Override
        public EntryBlockingStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new EntryBlockingStub(channel, callOptions);
        }
      };
    return EntryBlockingStub.newStub(factory, channel);
  }

  /**
   * Creates a new ListenableFuture-style stub that supports unary calls on the service
   */
  public static EntryFutureStub newFutureStub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<EntryFutureStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<EntryFutureStub>() {
        @java.lang.Override
        public EntryFutureStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new EntryFutureStub(channel, callOptions);
        }
      };
    return EntryFutureStub.newStub(factory, channel);
  }

  /**
   * <pre>
   * Served by every entry.
   * </pre>
   */
  public interface AsyncService {

    /**
     */
    default void heartbeat(org.camphorhall.wire.proto.HeartbeatRequest request,
        io.grpc.stub.StreamObserver<org.camphorhall.wire.proto.HeartbeatReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getHeartbeatMethod(), responseObserver);
    }

    /**
     */
    default void exchange(org.camphorhall.wire.proto.DomainSummary request,
        io.grpc.stub.StreamObserver<org.camphorhall.wire.proto.DomainSummary> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getExchangeMethod(), responseObserver);
    }

    /**
     * <pre>
     * Carries a command to the owner of a shard.
     * </pre>
     */
    default void forward(org.camphorhall.wire.proto.ShardCommand request,
        io.grpc.stub.StreamObserver<org.camphorhall.wire.proto.ShardReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getForwardMethod(), responseObserver);
    }
  }

  /**
   * Base class for the server implementation of the service Entry.
   * <pre>
   * Served by every entry.
   * </pre>
   */
  public static abstract class EntryImplBase
      implements io.grpc.BindableService, AsyncService {

    @java.lang.Override public final io.grpc.ServerServiceDefinition bindService() {
      return EntryGrpc.bindService(this);
    }
  }

  /**
   * A stub to allow clients to do asynchronous rpc calls to service Entry.
   * <pre>
   * Served by every entry.
   * </pre>
   */
  public static final class EntryStub
      extends io.grpc.stub.AbstractAsyncStub<EntryStub> {
    private EntryStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected EntryStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new EntryStub(channel, callOptions);
    }

    /**
     */
    public void heartbeat(org.camphorhall.wire.proto.HeartbeatRequest request,
        io.grpc.stub.StreamObserver<org.camphorhall.wire.proto.HeartbeatReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getHeartbeatMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     */
    public void exchange(org.camphorhall.wire.proto.DomainSummary request,
        io.grpc.stub.StreamObserver<org.camphorhall.wire.proto.DomainSummary> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getExchangeMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     * <pre>
     * Carries a command to the owner of a shard.
     * </pre>
     */
    public void forward(org.camphorhall.wire.proto.ShardCommand request,
        io.grpc.stub.StreamObserver<org.camphorhall.wire.proto.ShardReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getForwardMethod(), getCallOptions()), request, responseObserver);
    }
  }

  /**
   * A stub to allow clients to do synchronous rpc calls to service Entry.
   * <pre>
   * Served by every entry.
   * </pre>
   */
  public static final class EntryBlockingV2Stub
      extends io.grpc.stub.AbstractBlockingStub<EntryBlockingV2Stub> {
    private EntryBlockingV2Stub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected EntryBlockingV2Stub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new EntryBlockingV2Stub(channel, callOptions);
    }

    /**
     */
    public org.camphorhall.wire.proto.HeartbeatReply heartbeat(org.camphorhall.wire.proto.HeartbeatRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getHeartbeatMethod(), getCallOptions(), request);
    }

    /**
     */
    public org.camphorhall.wire.proto.DomainSummary exchange(org.camphorhall.wire.proto.DomainSummary request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getExchangeMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Carries a command to the owner of a shard.
     * </pre>
     */
    public org.camphorhall.wire.proto.ShardReply forward(org.camphorhall.wire.proto.ShardCommand request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getForwardMethod(), getCallOptions(), request);
    }
  }

  /**
   * A stub to allow clients to do limited synchronous rpc calls to service Entry.
   * <pre>
   * Served by every entry.
   * </pre>
   */
  public static final class EntryBlockingStub
      extends io.grpc.stub.AbstractBlockingStub<EntryBlockingStub> {
    private EntryBlockingStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected EntryBlockingStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new EntryBlockingStub(channel, callOptions);
    }

    /**
     */
    public org.camphorhall.wire.proto.HeartbeatReply heartbeat(org.camphorhall.wire.proto.HeartbeatRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getHeartbeatMethod(), getCallOptions(), request);
    }

    /**
     */
    public org.camphorhall.wire.proto.DomainSummary exchange(org.camphorhall.wire.proto.DomainSummary request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getExchangeMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Carries a command to the owner of a shard.
     * </pre>
     */
    public org.camphorhall.wire.proto.ShardReply forward(org.camphorhall.wire.proto.ShardCommand request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getForwardMethod(), getCallOptions(), request);
    }
  }

  /**
   * A stub to allow clients to do ListenableFuture-style rpc calls to service Entry.
   * <pre>
   * Served by every entry.
   * </pre>
   */
  public static final class EntryFutureStub
      extends io.grpc.stub.AbstractFutureStub<EntryFutureStub> {
    private EntryFutureStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected EntryFutureStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new EntryFutureStub(channel, callOptions);
    }

    /**
     */
    public com.google.common.util.concurrent.ListenableFuture<org.camphorhall.wire.proto.HeartbeatReply> heartbeat(
        org.camphorhall.wire.proto.HeartbeatRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getHeartbeatMethod(), getCallOptions()), request);
    }

    /**
     */
    public com.google.common.util.concurrent.ListenableFuture<org.camphorhall.wire.proto.DomainSummary> exchange(
        org.camphorhall.wire.proto.DomainSummary request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getExchangeMethod(), getCallOptions()), request);
    }

    /**
     * <pre>
     * Carries a command to the owner of a shard.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<org.camphorhall.wire.proto.ShardReply> forward(
        org.camphorhall.wire.proto.ShardCommand request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getForwardMethod(), getCallOptions()), request);
    }
  }

  private static final int METHODID_HEARTBEAT = 0;
  private static final int METHODID_EXCHANGE = 1;
  private static final int METHODID_FORWARD = 2;

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
        case METHODID_HEARTBEAT:
          serviceImpl.heartbeat((org.camphorhall.wire.proto.HeartbeatRequest) request,
              (io.grpc.stub.StreamObserver<org.camphorhall.wire.proto.HeartbeatReply>) responseObserver);
          break;
        case METHODID_EXCHANGE:
          serviceImpl.exchange((org.camphorhall.wire.proto.DomainSummary) request,
              (io.grpc.stub.StreamObserver<org.camphorhall.wire.proto.DomainSummary>) responseObserver);
          break;
        case METHODID_FORWARD:
          serviceImpl.forward((org.camphorhall.wire.proto.ShardCommand) request,
              (io.grpc.stub.StreamObserver<org.camphorhall.wire.proto.ShardReply>) responseObserver);
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
          getHeartbeatMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.camphorhall.wire.proto.HeartbeatRequest,
              org.camphorhall.wire.proto.HeartbeatReply>(
                service, METHODID_HEARTBEAT)))
        .addMethod(
          getExchangeMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.camphorhall.wire.proto.DomainSummary,
              org.camphorhall.wire.proto.DomainSummary>(
                service, METHODID_EXCHANGE)))
        .addMethod(
          getForwardMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.camphorhall.wire.proto.ShardCommand,
              org.camphorhall.wire.proto.ShardReply>(
                service, METHODID_FORWARD)))
        .build();
  }

  private static abstract class EntryBaseDescriptorSupplier
      implements io.grpc.protobuf.ProtoFileDescriptorSupplier, io.grpc.protobuf.ProtoServiceDescriptorSupplier {
    EntryBaseDescriptorSupplier() {}

    @java.lang.Override
    public com.google.protobuf.Descriptors.FileDescriptor getFileDescriptor() {
      return org.camphorhall.wire.proto.Camphorhall.getDescriptor();
    }

    @java.lang.Override
    public com.google.protobuf.Descriptors.ServiceDescriptor getServiceDescriptor() {
      return getFileDescriptor().findServiceByName("Entry");
    }
  }

  private static final class EntryFileDescriptorSupplier
      extends EntryBaseDescriptorSupplier {
    EntryFileDescriptorSupplier() {}
  }

  private static final class EntryMethodDescriptorSupplier
      extends EntryBaseDescriptorSupplier
      implements io.grpc.protobuf.ProtoMethodDescriptorSupplier {
    private final java.lang.String methodName;

    EntryMethodDescriptorSupplier(java.lang.String methodName) {
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
      synchronized (EntryGrpc.class) {
        result = serviceDescriptor;
        if (result == null) {
          serviceDescriptor = result = io.grpc.ServiceDescriptor.newBuilder(SERVICE_NAME)
              .setSchemaDescriptor(new EntryFileDescriptorSupplier())
              .addMethod(getHeartbeatMethod())
              .addMethod(getExchangeMethod())
              .addMethod(getForwardMethod())
              .build();
        }
      }
    }
    return result;
  }
}
