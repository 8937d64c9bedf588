package org.camphorhall.dev.relay

import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import org.junit.jupiter.api.assertThrows
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.io.IOException
import java.net.ServerSocket
import java.net.Socket
import java.net.SocketTimeoutException
import kotlin.concurrent.thread

/** Guards against a fault that affects other connections than intended. */
@Timeout(60)
internal class RelayTest {
    private val echo = ServerSocket(0)
    private val relay = runBlocking { Relay.listen("127.0.0.1", 0, "127.0.0.1", echo.localPort) }

    init {
        thread(isDaemon = true) {
            runCatching {
                while (true) {
                    val socket = echo.accept()
                    thread(isDaemon = true) {
                        runCatching { socket.use { it.getInputStream().copyTo(it.getOutputStream()) } }
                    }
                }
            }
        }
    }

    private fun connect() = Socket("127.0.0.1", relay.port).apply { soTimeout = 10_000 }

    private fun Socket.exchange(byte: Int): Int {
        getOutputStream().write(byte)
        return getInputStream().read()
    }

    @AfterEach
    fun stop() {
        relay.stop()
        echo.close()
    }

    @Test
    fun `silenced connections stay silent while new ones work`() {
        connect().use { old ->
            expectThat(old.exchange(1)).isEqualTo(1)
            relay.setFaults(RelayFaults(silent = true))
            relay.setFaults(RelayFaults())
            old.soTimeout = 200
            assertThrows<SocketTimeoutException> { old.exchange(2) }
            connect().use { new -> expectThat(new.exchange(3)).isEqualTo(3) }
        }
    }

    @Test
    fun `cut closes open connections while new ones work`() {
        connect().use { old ->
            expectThat(old.exchange(1)).isEqualTo(1)
            relay.setFaults(RelayFaults(cut = true))
            val received = runCatching { old.exchange(2) }.getOrElse { if (it is IOException) -1 else throw it }
            expectThat(received).isEqualTo(-1)
            connect().use { new -> expectThat(new.exchange(3)).isEqualTo(3) }
        }
    }

    @Test
    fun `a reset or a close of one connection leaves other connections open`() {
        connect().use { other ->
            for (reset in listOf(true, false)) {
                val socket = connect()
                expectThat(socket.exchange(1)).isEqualTo(1)
                // With a linger time of 0 a close sends a reset.
                if (reset) socket.setSoLinger(true, 0)
                socket.close()
                while (relay.openConnections > 1) Thread.sleep(5)
                expectThat(other.exchange(2)).isEqualTo(2)
            }
        }
    }

    @Test
    fun `a partition delays data on all connections until it ends`() {
        connect().use { socket ->
            expectThat(socket.exchange(1)).isEqualTo(1)
            relay.setFaults(RelayFaults(partition = true))
            socket.soTimeout = 200
            assertThrows<SocketTimeoutException> { socket.exchange(2) }
            relay.setFaults(RelayFaults())
            socket.soTimeout = 10_000
            expectThat(socket.getInputStream().read()).isEqualTo(2)
        }
    }
}
