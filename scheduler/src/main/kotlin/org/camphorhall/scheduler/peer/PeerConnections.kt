package org.camphorhall.scheduler.peer

import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.aSocket
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.withTimeoutOrNull
import org.camphorhall.scheduler.support.Clock
import org.camphorhall.scheduler.support.SystemClock
import org.camphorhall.scheduler.support.hostOf
import org.camphorhall.scheduler.support.portOf
import java.io.IOException
import kotlin.time.Duration.Companion.milliseconds

/** Opens connections to other scheduler processes. */
internal class PeerConnections(private val clock: Clock = SystemClock) : AutoCloseable {
    private val selector = lazy { SelectorManager(Dispatchers.Default) }

    /** Connects to [address], host:port. Throws [java.net.ConnectException] if no process listens there. */
    suspend fun open(address: String): PeerConnection {
        val socket = withTimeoutOrNull(CONNECT_TIMEOUT) {
            aSocket(selector.value).tcp().connect(hostOf(address), portOf(address)) { noDelay = true }
        } ?: throw IOException("no connection to $address within $CONNECT_TIMEOUT")
        return PeerConnection(socket, clock)
    }

    override fun close() {
        if (selector.isInitialized()) selector.value.close()
    }

    private companion object {
        val CONNECT_TIMEOUT = 500.milliseconds
    }
}
