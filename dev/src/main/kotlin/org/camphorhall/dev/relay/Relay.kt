package org.camphorhall.dev.relay

import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.network.sockets.port
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.readAvailable
import io.ktor.utils.io.writeFully
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.cancel
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.launch
import java.io.IOException
import java.util.concurrent.ConcurrentHashMap

/** Forwards TCP connections to [targetAddress] and injects faults into them. */
internal class Relay private constructor(
    private val selector: SelectorManager,
    private val server: ServerSocket,
    private val targetAddress: InetSocketAddress,
) {
    private val scope = CoroutineScope(Dispatchers.IO + SupervisorJob())
    private val connections = ConcurrentHashMap.newKeySet<RelayedConnection>()
    private val partition = MutableStateFlow(false)

    val port: Int get() = server.localAddress.port()

    /** Active faults. Only a partition lasts; `silent` and `cut` act once and are always reported as false. */
    val faults: RelayFaults get() = RelayFaults(partition = partition.value)

    val openConnections: Int get() = connections.size

    init {
        scope.launch {
            while (true) accept(server.accept())
        }
    }

    fun setFaults(new: RelayFaults) {
        partition.value = new.partition
        if (new.silent) connections.forEach { it.silent = true }
        if (new.cut) connections.forEach { it.close() }
    }

    fun stop() {
        connections.forEach { it.close() }
        scope.cancel()
        server.close()
        selector.close()
    }

    private fun accept(client: Socket) {
        scope.launch {
            val target = try {
                aSocket(selector).tcp().connect(targetAddress)
            } catch (e: Exception) {
                client.close()
                return@launch
            }
            val connection = RelayedConnection(client, target)
            connections += connection
            try {
                connection.run()
            } finally {
                connections -= connection
                connection.close()
            }
        }
    }

    /** Connection of a client and the connection to the target that its bytes are forwarded to. */
    private inner class RelayedConnection(private val client: Socket, private val target: Socket) {
        @Volatile
        var silent = false

        @Volatile
        private var job: Job? = null

        suspend fun run() {
            val running = scope.launch {
                launch { forward(client.openReadChannel(), target.openWriteChannel()) }
                launch { forward(target.openReadChannel(), client.openWriteChannel()) }
            }
            job = running
            running.join()
        }

        fun close() {
            job?.cancel()
            client.close()
            target.close()
        }

        private suspend fun forward(from: ByteReadChannel, into: ByteWriteChannel) {
            val buffer = ByteArray(BUFFER_BYTES)
            try {
                while (true) {
                    val n = from.readAvailable(buffer)
                    // Checked before the end of input: a silent connection also hides that its peer closed.
                    partition.first { !it }
                    if (silent) awaitCancellation()
                    if (n < 0) break
                    into.writeFully(buffer, 0, n)
                    into.flush()
                }
                into.flushAndClose()
            } catch (e: IOException) {
                // One side was reset; closing both sockets makes the other side see the end of its connection.
                close()
            }
        }
    }

    companion object {
        private const val BUFFER_BYTES = 8192

        /** Listens on [host] and [port]; port 0 selects a free port. */
        suspend fun listen(host: String, port: Int, targetHost: String, targetPort: Int): Relay {
            val selector = SelectorManager(Dispatchers.IO)
            val server = aSocket(selector).tcp().bind(host, port)
            return Relay(selector, server, InetSocketAddress(targetHost, targetPort))
        }
    }
}
