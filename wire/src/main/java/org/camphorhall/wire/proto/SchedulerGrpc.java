package org.camphorhall.wire.proto;

import static io.grpc.MethodDescriptor.generateFullMethodName;

/**
 * <pre>
 * Served by the process that holds the scheduler role.
 * </pre>
 */
@io.grpc.stub.annotations.GrpcGenerated
public final class SchedulerGrpc {

  private SchedulerGrpc() {}

  public static final java.lang.String SERVICE_NAME = "camphorhall.v1.Scheduler";

  // Static method descriptors that strictly reflect the proto.
  private static volatile io.grpc.MethodDescriptor<org.camphorhall.wire.proto.Document,
      org.camphorhall.wire.proto.Document> getAttachMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "Attach",
      requestType = org.camphorhall.wire.proto.Document.class,
      responseType = org.camphorhall.wire.proto.Document.class,
      methodType = io.grpc.MethodDescriptor.MethodType.BIDI_STREAMING)
  public static io.grpc.MethodDescriptor<org.camphorhall.wire.proto.Document,
      org.camphorhall.wire.proto.Document> getAttachMethod() {
    io.grpc.MethodDescriptor<org.camphorhall.wire.proto.Document, org.camphorhall.wire.proto.Document> getAttachMethod;
    if ((getAttachMethod = SchedulerGrpc.getAttachMethod) == null) {
      synchronized (SchedulerGrpc.class) {
        if ((getAttachMethod = SchedulerGrpc.getAttachMethod) == null) {
          SchedulerGrpc.getAttachMethod = getAttachMethod =
              io.grpc.MethodDescriptor.<org.camphorhall.wire.proto.Document, org.camphorhall.wire.proto.Document>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.BIDI_STREAMING)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "Attach"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.camphorhall.wire.proto.Document.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.camphorhall.wire.proto.Document.getDefaultInstance()))
              .setSchemaDescriptor(new SchedulerMethodDescriptorSupplier("Attach"))
              .build();
        }
      }
    }
    return getAttachMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.camphorhall.wire.proto.Document,
      org.camphorhall.wire.proto.Document> getAskMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "Ask",
      requestType = org.camphorhall.wire.proto.Document.class,
      responseType = org.camphorhall.wire.proto.Document.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.camphorhall.wire.proto.Document,
      org.camphorhall.wire.proto.Document> getAskMethod() {
    io.grpc.MethodDescriptor<org.camphorhall.wire.proto.Document, org.camphorhall.wire.proto.Document> getAskMethod;
    if ((getAskMethod = SchedulerGrpc.getAskMethod) == null) {
      synchronized (SchedulerGrpc.class) {
        if ((getAskMethod = SchedulerGrpc.getAskMethod) == null) {
          SchedulerGrpc.getAskMethod = getAskMethod =
              io.grpc.MethodDescriptor.<org.camphorhall.wire.proto.Document, org.camphorhall.wire.proto.Document>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "Ask"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.camphorhall.wire.proto.Document.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.camphorhall.wire.proto.Document.getDefaultInstance()))
              .setSchemaDescriptor(new SchedulerMethodDescriptorSupplier("Ask"))
              .build();
        }
      }
    }
    return getAskMethod;
  }

  /**
   * Creates a new async stub that supports all call types for the service
   */
  public static SchedulerStub newStub(io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<SchedulerStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<SchedulerStub>() {
        @java.lang.Override
        public SchedulerStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new SchedulerStub(channel, callOptions);
        }
      };
    return SchedulerStub.newStub(factory, channel);
  }

  /**
   * Creates a new blocking-style stub that supports all types of calls on the service
   */
  public static SchedulerBlockingV2Stub newBlockingV2Stub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<SchedulerBlockingV2Stub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<SchedulerBlockingV2Stub>() {
        @java.lang.Override
        public SchedulerBlockingV2Stub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new SchedulerBlockingV2Stub(channel, callOptions);
        }
      };
    return SchedulerBlockingV2Stub.newStub(factory, channel);
  }

  /**
   * Creates a new blocking-style stub that supports unary and streaming output calls on the service
   */
  public static SchedulerBlockingStub newBlockingStub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<SchedulerBlockingStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<SchedulerBlockingStub>() {
        @java.lang.Override
        public SchedulerBlockingStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new SchedulerBlockingStub(channel, callOptions);
        }
      };
    return SchedulerBlockingStub.newStub(factory, channel);
  }

  /**
   * Creates a new ListenableFuture-style stub that supports unary calls on the service
   */
  public static SchedulerFutureStub newFutureStub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<SchedulerFutureStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<SchedulerFutureStub>() {
        @java.lang.Override
        public SchedulerFutureStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new SchedulerFutureStub(channel, callOptions);
        }
      };
    return SchedulerFutureStub.newStub(factory, channel);
  }

  /**
   * <pre>
   * Served by the process that holds the scheduler role.
   * </pre>
   */
  public interface AsyncService {

    /**
     * <pre>
     * One stream for each agent: reports in, orders and lease grants out.
     * </pre>
     */
    default io.grpc.stub.StreamObserver<org.camphorhall.wire.proto.Document> attach(
        io.grpc.stub.StreamObserver<org.camphorhall.wire.proto.Document> responseObserver) {
      return io.grpc.stub.ServerCalls.asyncUnimplementedStreamingCall(getAttachMethod(), responseObserver);
    }

    /**
     * <pre>
     * Tells the scheduler about a stored job or cancellation, or asks for the state of a job or queue.
     * </pre>
     */
    default void ask(org.camphorhall.wire.proto.Document request,
        io.grpc.stub.StreamObserver<org.camphorhall.wire.proto.Document> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getAskMethod(), responseObserver);
    }
  }

  /**
   * Base class for the server implementation of the service Scheduler.
   * <pre>
   * Served by the process that holds the scheduler role.
   * </pre>
   */
  public static abstract class SchedulerImplBase
      implements io.grpc.BindableService, AsyncService {

    @java.lang.Override public final io.grpc.ServerServiceDefinition bindService() {
      return SchedulerGrpc.bindService(this);
    }
  }

  /**
   * A stub to allow clients to do asynchronous rpc calls to service Scheduler.
   * <pre>
   * Served by the process that holds the scheduler role.
   * </pre>
   */
  public static final class SchedulerStub
      extends io.grpc.stub.AbstractAsyncStub<SchedulerStub> {
    private SchedulerStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected SchedulerStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new SchedulerStub(channel, callOptions);
    }

    /**
     * <pre>
     * One stream for each agent: reports in, orders and lease grants out.
     * </pre>
     */
    public io.grpc.stub.StreamObserver<org.camphorhall.wire.proto.Document> attach(
        io.grpc.stub.StreamObserver<org.camphorhall.wire.proto.Document> responseObserver) {
      return io.grpc.stub.ClientCalls.asyncBidiStreamingCall(
          getChannel().newCall(getAttachMethod(), getCallOptions()), responseObserver);
    }

    /**
     * <pre>
     * Tells the scheduler about a stored job or cancellation, or asks for the state of a job or queue.
     * </pre>
     */
    public void ask(org.camphorhall.wire.proto.Document request,
        io.grpc.stub.StreamObserver<org.camphorhall.wire.proto.Document> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getAskMethod(), getCallOptions()), request, responseObserver);
    }
  }

  /**
   * A stub to allow clients to do synchronous rpc calls to service Scheduler.
   * <pre>
   * Served by the process that holds the scheduler role.
   * </pre>
   */
  public static final class SchedulerBlockingV2Stub
      extends io.grpc.stub.AbstractBlockingStub<SchedulerBlockingV2Stub> {
    private SchedulerBlockingV2Stub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected SchedulerBlockingV2Stub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new SchedulerBlockingV2Stub(channel, callOptions);
    }

    /**
     * <pre>
     * One stream for each agent: reports in, orders and lease grants out.
     * </pre>
     */
    @io.grpc.ExperimentalApi("https://github.com/grpc/grpc-java/issues/10918")
    public io.grpc.stub.BlockingClientCall<org.camphorhall.wire.proto.Document, org.camphorhall.wire.proto.Document>
        attach() {
      return io.grpc.stub.ClientCalls.blockingBidiStreamingCall(
          getChannel(), getAttachMethod(), getCallOptions());
    }

    /**
     * <pre>
     * Tells the scheduler about a stored job or cancellation, or asks for the state of a job or queue.
     * </pre>
     */
    public org.camphorhall.wire.proto.Document ask(org.camphorhall.wire.proto.Document request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getAskMethod(), getCallOptions(), request);
    }
  }

  /**
   * A stub to allow clients to do limited synchronous rpc calls to service Scheduler.
   * <pre>
   * Served by the process that holds the scheduler role.
   * </pre>
   */
  public static final class SchedulerBlockingStub
      extends io.grpc.stub.AbstractBlockingStub<SchedulerBlockingStub> {
    private SchedulerBlockingStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected SchedulerBlockingStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new SchedulerBlockingStub(channel, callOptions);
    }

    /**
     * <pre>
     * Tells the scheduler about a stored job or cancellation, or asks for the state of a job or queue.
     * </pre>
     */
    public org.camphorhall.wire.proto.Document ask(org.camphorhall.wire.proto.Document request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getAskMethod(), getCallOptions(), request);
    }
  }

  /**
   * A stub to allow clients to do ListenableFuture-style rpc calls to service Scheduler.
   * <pre>
   * Served by the process that holds the scheduler role.
   * </pre>
   */
  public static final class SchedulerFutureStub
      extends io.grpc.stub.AbstractFutureStub<SchedulerFutureStub> {
    private SchedulerFutureStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected SchedulerFutureStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new SchedulerFutureStub(channel, callOptions);
    }

    /**
     * <pre>
     * Tells the scheduler about a stored job or cancellation, or asks for the state of a job or queue.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<org.camphorhall.wire.proto.Document> ask(
        org.camphorhall.wire.proto.Document request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getAskMethod(), getCallOptions()), request);
    }
  }

  private static final int METHODID_ASK = 0;
  private static final int METHODID_ATTACH = 1;

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
        case METHODID_ASK:
          serviceImpl.ask((org.camphorhall.wire.proto.Document) request,
              (io.grpc.stub.StreamObserver<org.camphorhall.wire.proto.Document>) responseObserver);
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
        case METHODID_ATTACH:
          return (io.grpc.stub.StreamObserver<Req>) serviceImpl.attach(
              (io.grpc.stub.StreamObserver<org.camphorhall.wire.proto.Document>) responseObserver);
        default:
          throw new AssertionError();
      }
    }
  }

  public static final io.grpc.ServerServiceDefinition bindService(AsyncService service) {
    return io.grpc.ServerServiceDefinition.builder(getServiceDescriptor())
        .addMethod(
          getAttachMethod(),
          io.grpc.stub.ServerCalls.asyncBidiStreamingCall(
            new MethodHandlers<
              org.camphorhall.wire.proto.Document,
              org.camphorhall.wire.proto.Document>(
                service, METHODID_ATTACH)))
        .addMethod(
          getAskMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.camphorhall.wire.proto.Document,
              org.camphorhall.wire.proto.Document>(
                service, METHODID_ASK)))
        .build();
  }

  private static abstract class SchedulerBaseDescriptorSupplier
      implements io.grpc.protobuf.ProtoFileDescriptorSupplier, io.grpc.protobuf.ProtoServiceDescriptorSupplier {
    SchedulerBaseDescriptorSupplier() {}

    @java.lang.Override
    public com.google.protobuf.Descriptors.FileDescriptor getFileDescriptor() {
      return org.camphorhall.wire.proto.Camphorhall.getDescriptor();
    }

    @java.lang.Override
    public com.google.protobuf.Descriptors.ServiceDescriptor getServiceDescriptor() {
      return getFileDescriptor().findServiceByName("Scheduler");
    }
  }

  private static final class SchedulerFileDescriptorSupplier
      extends SchedulerBaseDescriptorSupplier {
    SchedulerFileDescriptorSupplier() {}
  }

  private static final class SchedulerMethodDescriptorSupplier
      extends SchedulerBaseDescriptorSupplier
      implements io.grpc.protobuf.ProtoMethodDescriptorSupplier {
    private final java.lang.String methodName;

    SchedulerMethodDescriptorSupplier(java.lang.String methodName) {
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
      synchronized (SchedulerGrpc.class) {
        result = serviceDescriptor;
        if (result == null) {
          serviceDescriptor = result = io.grpc.ServiceDescriptor.newBuilder(SERVICE_NAME)
              .setSchemaDescriptor(new SchedulerFileDescriptorSupplier())
              .addMethod(getAttachMethod())
              .addMethod(getAskMethod())
              .build();
        }
      }
    }
    return result;
  }
}
