package org.camphorhall.scheduler.peer

import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.aSocket
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.withTimeoutOrNull
import org.camphorhall.scheduler.support.Clock
import org.camphorhall.scheduler.support.SystemClock
import org.camphorhall.scheduler.support.hostOf
import org.camphorhall.scheduler.support.isAddress
import org.camphorhall.scheduler.support.portOf
import java.io.IOException
import kotlin.time.Duration.Companion.milliseconds

/** Sockets between scheduler processes; all of them share one selector. */
internal class PeerSockets(private val clock: Clock = SystemClock) : AutoCloseable {
    // The selector blocks the thread on which it waits, and the default dispatcher of one processor has only two.
    private val selector = lazy { SelectorManager(Dispatchers.IO) }

    /**
     * Connects to [address], host:port. Throws [java.net.ConnectException] if no process listens there, and another
     * [IOException] if [address] is none.
     */
    suspend fun open(address: String): PeerConnection {
        if (!isAddress(address)) throw IOException("$address is not host:port")
        val socket = withTimeoutOrNull(CONNECT_TIMEOUT) {
            aSocket(selector.value).tcp().connect(hostOf(address), portOf(address)) { noDelay = true }
        } ?: throw IOException("no connection to $address within $CONNECT_TIMEOUT")
        return PeerConnection(socket, clock)
    }

    /** Listens at [address], host:port. Throws [IOException] if the address cannot be bound. */
    suspend fun listen(address: String): ServerSocket =
        aSocket(selector.value).tcp().bind(hostOf(address), portOf(address)) { reuseAddress = true }

    override fun close() {
        if (selector.isInitialized()) selector.value.close()
    }

    private companion object {
        val CONNECT_TIMEOUT = 500.milliseconds
    }
}
