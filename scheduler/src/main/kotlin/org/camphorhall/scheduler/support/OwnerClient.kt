package org.camphorhall.scheduler.support

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.github.oshai.kotlinlogging.KotlinLogging
import io.github.oshai.kotlinlogging.Level
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.async
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.camphorhall.process.event
import org.camphorhall.scheduler.peer.PeerConnection
import org.camphorhall.scheduler.peer.PeerSockets
import org.camphorhall.scheduler.peer.PeerFrame
import org.camphorhall.scheduler.protocol.OwnerRequest
import org.camphorhall.scheduler.protocol.OwnerResponse
import java.io.IOException
import java.net.ConnectException
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration

private val logger = KotlinLogging.logger {}

/**
 * Failure of a request to a peer. [isNotSent] is true if the request was never sent. No failure shows that the process
 * at the address has ended, since the path to it may be cut.
 */
internal class PeerFailure(val detail: String, val isNotSent: Boolean) {
    override fun toString(): String = detail
}

/** Sends requests to the processes that may own a shard, over one connection for each of them. */
internal class OwnerClient(
    private val sockets: PeerSockets,
    private val scope: CoroutineScope,
    private val clock: Clock = SystemClock,
) {
    private val links = ConcurrentHashMap<String, Link>()

    /** Number of connections that requests use or will use. */
    val openConnections: Int get() = links.size

    /** Sends [request] to [address]; fails after [timeout] without a response. */
    suspend fun send(address: String, request: OwnerRequest, timeout: Duration): Either<PeerFailure, OwnerResponse> {
        val startedAt = clock.steady()
        val link = links.compute(address) { _, old -> old?.takeIf { !it.hasEnded } ?: Link(address) }!!
        var isSent = false
        return try {
            val response = withTimeoutOrNull(timeout) {
                val connection = link.connection.await()
                isSent = true
                link.ask(connection, request)
            }
            response?.right() ?: silent(link, startedAt, isSent)
        } catch (e: ConnectException) {
            remove(link)
            PeerFailure("$address: ${e.message}", isNotSent = true).left()
        } catch (e: IOException) {
            remove(link)
            PeerFailure("$address: ${e.message}", isNotSent = !isSent).left()
        } catch (e: CancellationException) {
            // Another request has given up the connection; this one is not cancelled.
            currentCoroutineContext().ensureActive()
            PeerFailure("$address: ${e.message}", isNotSent = !isSent).left()
        }
    }

    /**
     * A connection that has delivered nothing since the request was sent may be dead. One that has is only slow, and a
     * new one would cost the peer more time.
     */
    private fun silent(link: Link, startedAt: Long, isSent: Boolean): Either<PeerFailure, OwnerResponse> {
        if ((link.lastReceivedAt ?: 0) < startedAt) remove(link)
        return PeerFailure("no answer from ${link.address}", isNotSent = !isSent).left()
    }

    private fun remove(link: Link) {
        links.remove(link.address, link)
        link.close()
    }

    private inner class Link(val address: String) {
        private val nextId = AtomicLong()
        private val pending = ConcurrentHashMap<Long, CompletableDeferred<OwnerResponse>>()

        @Volatile
        private var opened: PeerConnection? = null

        @Volatile
        var hasEnded = false
            private set

        val connection: Deferred<PeerConnection> = scope.async(start = CoroutineStart.LAZY) { open() }

        val lastReceivedAt: Long? get() = opened?.lastReceivedAt

        private suspend fun open(): PeerConnection = try {
            sockets.open(address).also {
                opened = it
                scope.launch { receiveAll(it) }
            }
        } catch (e: IOException) {
            hasEnded = true
            throw e
        }

        private suspend fun receiveAll(connection: PeerConnection) {
            var reason: IOException? = null
            try {
                connection.run { frame ->
                    if (frame is PeerFrame.Response) pending.remove(frame.id)?.complete(frame.response)
                }
            } catch (e: IOException) {
                reason = e
                logger.event(Level.DEBUG, "connection to a peer ended", "peer" to address, "reason" to e.message)
            } finally {
                hasEnded = true
                val failure = reason ?: IOException("connection closed")
                pending.values.forEach { it.completeExceptionally(failure) }
            }
        }

        suspend fun ask(connection: PeerConnection, request: OwnerRequest): OwnerResponse {
            val id = nextId.incrementAndGet()
            val response = CompletableDeferred<OwnerResponse>()
            pending[id] = response
            try {
                // The receiver fails all pending requests when the connection ends, but not those added after that.
                if (hasEnded || !connection.send(PeerFrame.Request(id, request))) {
                    throw IOException("connection closed")
                }
                return response.await()
            } finally {
                pending.remove(id)
            }
        }

        fun close() {
            hasEnded = true
            connection.cancel()
            opened?.close()
        }
    }
}
