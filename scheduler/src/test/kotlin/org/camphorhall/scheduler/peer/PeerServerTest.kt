package org.camphorhall.scheduler.peer

import arrow.core.Either
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.cancel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.camphorhall.scheduler.protocol.OwnerRequest
import org.camphorhall.scheduler.protocol.OwnerResponse
import org.camphorhall.scheduler.support.OwnerClient
import org.camphorhall.scheduler.support.PeerFailure
import org.camphorhall.scheduler.support.SystemClock
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEqualTo
import strikt.assertions.isTrue
import java.io.ByteArrayOutputStream
import java.io.DataOutputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal class PeerServerTest {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val sockets = PeerSockets()
    private val port = ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { it.localPort }
    private val address = "127.0.0.1:$port"
    private val client = OwnerClient(sockets, scope)

    /** Responds to [OwnerRequest.CountPending] with the number that its class is; throws or hangs for other classes. */
    private val server = PeerServer(address, sockets, scope, SystemClock) { connection ->
        coroutineScope {
            connection.run { frame ->
                val request = (frame as PeerFrame.Request).request as OwnerRequest.CountPending
                when (request.classId) {
                    "throw" -> error("unexpected")
                    "hang" -> Unit
                    else -> launch {
                        val number = request.classId.toInt()
                        delay((number % 5 * 10).milliseconds)
                        connection.send(PeerFrame.Response(frame.id, OwnerResponse.PendingCount(number)))
                    }
                }
            }
        }
    }

    @AfterEach
    fun close() {
        server.close()
        scope.cancel()
        sockets.close()
    }

    /** [timeout] ends a test whose response is lost; how fast a cold JVM responds is not tested. */
    private suspend fun ask(classId: String, timeout: Duration = 10.seconds): Either<PeerFailure, OwnerResponse> =
        client.send(address, OwnerRequest.CountPending(classId), timeout)

    private fun numberIn(response: Either<PeerFailure, OwnerResponse>): Int? =
        (response.getOrNull() as? OwnerResponse.PendingCount)?.jobs

    private fun frame(length: Int, body: ByteArray): ByteArray = ByteArrayOutputStream().also {
        DataOutputStream(it).apply {
            writeInt(length)
            write(body)
        }
    }.toByteArray()

    private fun jobWith(tasks: String): ByteArray = """{"type":"ask","id":1,"request":{"type":"stored","record":{"id":"a",
        "spec":{"payload":"","steps":[{"tasks":$tasks,"demand":{}}]},"jobClass":{"id":"c","service":"s","priority":0,
        "maxAttempts":1,"stretch":1.0,"targetMillis":1,"timeoutMillis":1},"acceptedAtMillis":0}}}""".encodeToByteArray()

    private val malformed = mapOf(
        "text of another protocol" to "GET / HTTP/1.1\r\nHost: a\r\n\r\n".encodeToByteArray(),
        "an empty frame" to frame(0, ByteArray(0)),
        "a negative length" to frame(-1, ByteArray(0)),
        "a length beyond the limit" to frame(Int.MAX_VALUE, ByteArray(16)),
        "bytes that are not JSON" to frame(4, byteArrayOf(-1, -2, -3, -4)),
        "an unknown kind of frame" to """{"type":"other"}""".encodeToByteArray().let { frame(it.size, it) },
        "a frame without its fields" to """{"type":"ask"}""".encodeToByteArray().let { frame(it.size, it) },
        "nested arrays before the kind of frame" to
            """{"x":${"[".repeat(100_000)}${"]".repeat(100_000)},"type":"other"}""".encodeToByteArray()
                .let { frame(it.size, it) },
        "a request with a number that is too large" to
            """{"type":"ask","id":1e400,"request":{"type":"waiting","classId":"1"}}""".encodeToByteArray()
                .let { frame(it.size, it) },
        "a job that no owner can hold" to jobWith("-1").let { frame(it.size, it) },
        "a job of too many tasks" to jobWith("2147483647").let { frame(it.size, it) },
        "deeply nested JSON" to "[".repeat(10_000).encodeToByteArray().let { frame(it.size, it) },
    )

    /** Guards against one malformed message that ends the process or stops it from serving its other peers. */
    @Test
    fun `malformed messages end only their own connection`(): Unit = runBlocking {
        server.start()
        expectThat(numberIn(ask("1"))).isEqualTo(1)
        for ((name, bytes) in malformed) {
            Socket(InetAddress.getLoopbackAddress(), port).use { socket ->
                socket.soTimeout = 2_000
                socket.getOutputStream().write(bytes)
                val isClosed = runCatching { socket.getInputStream().read() == -1 }.getOrElse { "reset" in "$it" }
                expectThat(isClosed).describedAs("closed after $name").isTrue()
            }
            expectThat(numberIn(ask("2"))).describedAs("served after $name").isEqualTo(2)
        }
    }

    /** Guards against an unexpected exception that ends the process: the connection ends, others are served. */
    @Test
    fun `an exception in the handler of a request ends only that connection`(): Unit = runBlocking {
        server.start()
        val failure = ask("throw").leftOrNull()
        expectThat(failure?.isNotSent).isEqualTo(false)
        expectThat(failure?.detail).describedAs("reason other than a time-out").isNotEqualTo("no answer from $address")
        expectThat(numberIn(ask("3"))).isEqualTo(3)
    }

    /** Guards against a response that is taken for the one to another request. */
    @Test
    fun `each request gets its own response while many share a connection`(): Unit = runBlocking {
        server.start()
        val numbers = coroutineScope { List(200) { async { numberIn(ask("$it")) } }.awaitAll() }
        expectThat(numbers).isEqualTo(List(200) { it })
        expectThat(client.openConnections).isEqualTo(1)
    }

    /** Guards against telling a caller that its request has not run after the request was sent. */
    @Test
    fun `only a request that was never sent counts as not sent`(): Unit = runBlocking {
        expectThat(ask("1").leftOrNull()?.isNotSent).isEqualTo(true)
        server.start()
        expectThat(ask("hang", 500.milliseconds).leftOrNull()?.isNotSent).isEqualTo(false)
        expectThat(ask("4")).isA<Either.Right<OwnerResponse>>()
    }

    /** Guards against a connection that is replaced whenever a busy peer is late, which makes the peer still later. */
    @Test
    fun `a connection that delivers other responses is kept when one response is late`(): Unit = runBlocking {
        server.start()
        expectThat(numberIn(ask("5"))).isEqualTo(5)
        val late = async { client.send(address, OwnerRequest.CountPending("hang"), 1.seconds) }
        delay(500)
        val pending = async { ask("14") }
        expectThat(numberIn(pending.await())).isEqualTo(14)
        expectThat(late.await().leftOrNull()?.isNotSent).isEqualTo(false)
        expectThat(client.openConnections).isEqualTo(1)
        expectThat(numberIn(ask("6"))).isEqualTo(6)
    }

    /** Guards against a caller without a response because another request gave up the connection that both wait for. */
    @Test
    fun `requests that wait for the same connection fail one by one`(): Unit = runBlocking {
        // The handshakes of further connections get no response once the queue of the listener is full.
        ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { silent ->
            val queued = List(4) { Socket().apply { runCatching { connect(silent.localSocketAddress, 100) } } }
            val target = "127.0.0.1:${silent.localPort}"
            val request = OwnerRequest.CountPending("1")
            val patient = async { client.send(target, request, 400.milliseconds) }
            expectThat(client.send(target, request, 100.milliseconds).leftOrNull()?.isNotSent).isEqualTo(true)
            expectThat(patient.await().leftOrNull()?.isNotSent).isEqualTo(true)
            queued.forEach { it.close() }
        }
    }
}
