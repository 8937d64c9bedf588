package org.camphorhall.wire

import io.grpc.ConnectivityState
import io.grpc.ManagedChannel
import io.grpc.Status
import io.grpc.StatusException
import io.grpc.netty.shaded.io.grpc.netty.NettyChannelBuilder
import io.grpc.netty.shaded.io.netty.channel.ChannelOption
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.selects.select
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit

/**
 * gRPC channels to other processes by address. A channel whose connection stops responding is replaced; calls in flight
 * on it may still complete. gRPC keepalive alone would detect this only after 12 s, because it raises shorter intervals
 * to 10 s.
 */
public class PeerChannels : AutoCloseable {
    private val channels = ConcurrentHashMap<String, ManagedChannel>()

    /** Returns the channel to [address], host:port. */
    public fun get(address: String): ManagedChannel = channels.computeIfAbsent(address, ::open)

    /** Replaces the channel [unresponsive] to [address], unless another call has done so. */
    public fun replace(address: String, unresponsive: ManagedChannel) {
        if (channels.remove(address, unresponsive)) unresponsive.shutdown()
    }

    /** Replaces [channel] to [address] if [status] is a timeout of a call on it: its connection may be dead. */
    public fun replaceOnTimeout(address: String, channel: ManagedChannel, status: Status) {
        if (status.code == Status.Code.DEADLINE_EXCEEDED) replace(address, channel)
    }

    /** Reconnects the channel to [address] without further backoff, because the process there is known to be up. */
    public fun resetBackoff(address: String) {
        val channel = channels[address] ?: return
        if (channel.getState(false) == ConnectivityState.TRANSIENT_FAILURE) channel.resetConnectBackoff()
    }

    /**
     * Runs [call] on the channel to [address]. While it runs, [probe] checks the connection; after two failed probes in
     * a row the channel is replaced for later calls, and with [failWhenUnresponsive] this call fails with UNAVAILABLE.
     */
    public suspend fun <T> callWithProbes(
        address: String,
        failWhenUnresponsive: Boolean,
        probe: suspend (ManagedChannel) -> Boolean,
        call: suspend (ManagedChannel) -> T,
    ): T = coroutineScope {
        val channel = get(address)
        val result = async { runCatching { call(channel) } }
        val failedProbes = async {
            awaitFailedProbes { probe(channel) }
            replace(address, channel)
            if (!failWhenUnresponsive) awaitCancellation()
        }
        val outcome = select {
            result.onAwait { it }
            failedProbes.onAwait { Result.failure<T>(StatusException(UNRESPONSIVE)) }
        }
        result.cancel()
        failedProbes.cancel()
        outcome.getOrThrow()
    }

    private suspend fun awaitFailedProbes(probe: suspend () -> Boolean) {
        var failed = 0
        while (failed < MAX_FAILED_PROBES) {
            delay(PROBE_PERIOD_MILLIS)
            if (probe()) failed = 0 else failed++
        }
    }

    private fun open(address: String): ManagedChannel = NettyChannelBuilder.forTarget(address)
        .usePlaintext()
        // A call that cannot connect must fail while its caller can still try another worker.
        .withOption(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
        .keepAliveTime(KEEPALIVE_SECONDS, TimeUnit.SECONDS)
        .keepAliveTimeout(KEEPALIVE_SECONDS, TimeUnit.SECONDS)
        .keepAliveWithoutCalls(false)
        .maxInboundMessageSize(MAX_MESSAGE_BYTES)
        .build()

    /** Closes the channels to all addresses but [addresses]. */
    public fun retain(addresses: Set<String>) {
        channels.keys.filter { it !in addresses }.forEach { channels.remove(it)?.shutdown() }
    }

    override fun close(): Unit = channels.values.forEach { it.shutdownNow() }

    private companion object {
        const val KEEPALIVE_SECONDS = 10L
        const val CONNECT_TIMEOUT_MILLIS = 1_000
        const val MAX_MESSAGE_BYTES = 8 * 1024 * 1024

        /** Time from the start of a call to its first probe, and between two probes. */
        const val PROBE_PERIOD_MILLIS = 500L

        /** One failed probe can be a pause of the peer; two in a row mean that the connection is unresponsive. */
        const val MAX_FAILED_PROBES = 2
        val UNRESPONSIVE: Status = Status.UNAVAILABLE.withDescription("connection unresponsive: two probes failed")
    }
}
