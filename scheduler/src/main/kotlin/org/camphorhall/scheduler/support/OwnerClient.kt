package org.camphorhall.scheduler.support

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.grpc.ManagedChannel
import io.grpc.Status
import io.grpc.StatusException
import kotlinx.coroutines.withTimeoutOrNull
import org.camphorhall.scheduler.protocol.Question
import org.camphorhall.scheduler.protocol.Reply
import org.camphorhall.scheduler.protocol.decode
import org.camphorhall.scheduler.protocol.documentOf
import org.camphorhall.wire.PeerChannels
import org.camphorhall.wire.proto.SchedulerGrpcKt.SchedulerCoroutineStub
import java.net.ConnectException
import kotlin.time.Duration

/** Why a peer gave no answer. [isPortClosed] tells that nothing listens at its address. */
internal class PeerFailure(val detail: String, val isPortClosed: Boolean) {
    override fun toString(): String = detail
}

/** Asks the processes that may own a shard. */
internal class OwnerClient(private val channels: PeerChannels) {
    /** Sends [question] to [address] and waits at most [timeout]. */
    suspend fun askAt(address: String, question: Question, timeout: Duration): Either<PeerFailure, Reply> {
        val channel = channels.get(address)
        return try {
            val reply = withTimeoutOrNull(timeout) {
                SchedulerCoroutineStub(channel).ask(documentOf(Question.serializer(), question))
            }
            reply?.decode(Reply.serializer())?.right() ?: silent(address, channel)
        } catch (e: StatusException) {
            channels.replaceOnTimeout(address, channel, e.status)
            failureOf(e).left()
        }
    }

    private fun silent(address: String, channel: ManagedChannel): Either<PeerFailure, Reply> {
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
