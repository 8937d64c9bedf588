package org.camphorhall.scheduler.support

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.grpc.ManagedChannel
import io.grpc.Status
import io.grpc.StatusException
import kotlinx.coroutines.withTimeoutOrNull
import org.camphorhall.scheduler.protocol.OwnerRequest
import org.camphorhall.scheduler.protocol.OwnerResponse
import org.camphorhall.scheduler.protocol.decode
import org.camphorhall.scheduler.protocol.documentOf
import org.camphorhall.wire.PeerChannels
import org.camphorhall.wire.proto.SchedulerGrpcKt.SchedulerCoroutineStub
import java.net.ConnectException
import kotlin.time.Duration

/** Failure of a request to a peer. [isPortClosed] is true if no process listens at its address. */
internal class PeerFailure(val detail: String, val isPortClosed: Boolean) {
    override fun toString(): String = detail
}

/** Sends requests to the processes that may own a shard. */
internal class OwnerClient(private val channels: PeerChannels) {
    /** Sends [request] to [address]; fails after [timeout] without a response. */
    suspend fun send(address: String, request: OwnerRequest, timeout: Duration): Either<PeerFailure, OwnerResponse> {
        val channel = channels.get(address)
        return try {
            val response = withTimeoutOrNull(timeout) {
                SchedulerCoroutineStub(channel).ask(documentOf(OwnerRequest.serializer(), request))
            }
            response?.decode(OwnerResponse.serializer())?.right() ?: replaceSilentChannel(address, channel)
        } catch (e: StatusException) {
            channels.replaceOnTimeout(address, channel, e.status)
            failureOf(e).left()
        }
    }

    private fun replaceSilentChannel(address: String, channel: ManagedChannel): Either<PeerFailure, OwnerResponse> {
        channels.replace(address, channel)
        return PeerFailure("no answer from $address", isPortClosed = false).left()
    }

    private fun failureOf(e: StatusException): PeerFailure {
        val causes = generateSequence<Throwable>(e) { it.cause }
        val isClosed = e.status.code == Status.Code.UNAVAILABLE &&
            causes.any { it is ConnectException && it.message.orEmpty().contains("refused", ignoreCase = true) }
        return PeerFailure(e.status.toString(), isClosed)
    }
}
