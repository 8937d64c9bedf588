package org.camphorhall.wire

import io.grpc.BindableService
import io.grpc.Server
import io.grpc.netty.shaded.io.grpc.netty.NettyServerBuilder
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit

/** Builds a gRPC server on [address], host:port, that allows the keepalive of [PeerChannels]. */
public fun grpcServer(address: String, vararg services: BindableService): Server {
    val host = address.substringBeforeLast(':')
    val port = address.substringAfterLast(':').toInt()
    val builder = NettyServerBuilder.forAddress(InetSocketAddress(host, port))
        .permitKeepAliveTime(1, TimeUnit.SECONDS)
        .permitKeepAliveWithoutCalls(true)
        .keepAliveTime(KEEPALIVE_SECONDS, TimeUnit.SECONDS)
        .keepAliveTimeout(KEEPALIVE_SECONDS, TimeUnit.SECONDS)
        .maxInboundMessageSize(MAX_MESSAGE_BYTES)
    services.forEach { builder.addService(it) }
    return builder.build()
}

private const val KEEPALIVE_SECONDS = 10L
private const val MAX_MESSAGE_BYTES = 8 * 1024 * 1024
