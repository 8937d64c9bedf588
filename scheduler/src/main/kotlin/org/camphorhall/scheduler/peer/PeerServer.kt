package org.camphorhall.scheduler.peer

import io.github.oshai.kotlinlogging.KotlinLogging
import io.github.oshai.kotlinlogging.Level
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.isClosed
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.camphorhall.process.event
import org.camphorhall.scheduler.support.Clock
import org.camphorhall.scheduler.support.LogLimit
import org.camphorhall.scheduler.support.launchLoop
import java.io.IOException
import kotlin.time.Duration.Companion.milliseconds

private val logger = KotlinLogging.logger {}

/** Accepts connections of other scheduler processes at [address], host:port. */
internal class PeerServer(
    private val address: String,
    private val sockets: PeerSockets,
    private val scope: CoroutineScope,
    private val clock: Clock,
    /** Runs one connection until it ends. */
    private val serve: suspend (PeerConnection) -> Unit,
) : AutoCloseable {
    private var socket: ServerSocket? = null
    private val malformed = LogLimit(clock)

    /** Binds the address. Throws [IOException] if that fails. */
    suspend fun start() {
        val bound = sockets.listen(address)
        socket = bound
        scope.launchLoop("accept") { acceptAll(bound) }
    }

    private suspend fun acceptAll(bound: ServerSocket) {
        while (!bound.isClosed) {
            try {
                val connection = PeerConnection(bound.accept(), clock)
                scope.launch { serveUntilEnd(connection) }
            } catch (e: IOException) {
                logger.event(Level.WARN, "connection not accepted", "address" to address, "reason" to e.message)
                delay(ACCEPT_RETRY_DELAY)
            }
        }
    }

    @Suppress("TooGenericExceptionCaught") // One bad request must not end the other connections.
    private suspend fun serveUntilEnd(connection: PeerConnection) {
        try {
            serve(connection)
        } catch (e: MalformedFrameException) {
            malformed.log { suppressed ->
                logger.event(
                    Level.WARN,
                    "connection closed: malformed message",
                    "reason" to e.message,
                    "suppressed" to suppressed,
                )
            }
        } catch (e: IOException) {
            logger.event(Level.DEBUG, "connection of a peer ended", "reason" to e.message)
        } catch (e: CancellationException) {
            throw e
        } catch (e: Throwable) {
            logger.event(Level.ERROR, "connection closed: request failed", cause = e)
        } finally {
            connection.close()
        }
    }

    override fun close() {
        socket?.close()
    }

    private companion object {
        /** Descriptors may have run out; they are released as other connections end. */
        val ACCEPT_RETRY_DELAY = 100.milliseconds
    }
}
