package org.camphorhall.dev.store

import arrow.core.left
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.camphorhall.dev.http.Faults
import org.camphorhall.dev.http.TestServer
import org.camphorhall.platform.store.KeyValueStore
import org.camphorhall.platform.store.StoreCall
import org.camphorhall.platform.store.StoreError
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import java.net.ServerSocket
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against an adapter that reports a write as not committed although it may have taken effect. */
internal class StoreAdapterTest {
    private val service = StoreService()
    private val server = runBlocking {
        TestServer.start("127.0.0.1", 0, service.faults) { service.defineEndpoints(this) }
    }
    private val calls = mutableListOf<StoreCall>()
    private val store = client(1_000)
    private val longTimeoutStore = client(10_000)

    private fun client(timeoutMillis: Int) =
        KeyValueStore("http://127.0.0.1:${server.port}", 1.seconds, timeoutMillis.milliseconds) { calls += it }

    @AfterEach
    fun stop() = server.stop()

    @Test
    fun `every request of the adapter works against the service`(): Unit = runBlocking {
        val key = "shards/1/a b?ü"
        expectThat(longTimeoutStore.get(key).getOrNull()).isNull()
        val version = longTimeoutStore.put(key, byteArrayOf(0, -1), expected = 0).getOrNull()!!
        expectThat(longTimeoutStore.get(key).getOrNull()).isNotNull().get { value.toList() }.containsExactly(0, -1)
        expectThat(longTimeoutStore.put(key, byteArrayOf(), 9)).isEqualTo(StoreError.VersionMismatch(version).left())
        expectThat(longTimeoutStore.delete(key, 9)).isEqualTo(StoreError.VersionMismatch(version).left())

        val lease = longTimeoutStore.grantLease(60.seconds).getOrNull()!!
        longTimeoutStore.put("leased", byteArrayOf(1), 0, lease)
        expectThat(longTimeoutStore.renewLease(lease).isRight()).isEqualTo(true)
        expectThat(longTimeoutStore.revokeLease(lease).isRight()).isEqualTo(true)
        expectThat(longTimeoutStore.renewLease(lease)).isEqualTo(StoreError.LeaseExpired.left())
        expectThat(longTimeoutStore.put("leased", byteArrayOf(), 0, lease)).isEqualTo(StoreError.LeaseExpired.left())

        val list = longTimeoutStore.list("shards/").getOrNull()!!
        expectThat(list.items.map { it.key }).containsExactly(key)
        expectThat(longTimeoutStore.delete(key, version).isRight()).isEqualTo(true)
        expectThat(longTimeoutStore.watch("shards/", list.revision, 1.seconds).getOrNull()!!.deleted)
            .containsExactly(key)
        expectThat(calls.groupingBy { it }.eachCount()[StoreCall.Put]).isEqualTo(4)
    }

    @Test
    fun `a watch returns the change under its prefix`(): Unit = runBlocking {
        val watch = async { longTimeoutStore.watch("a", 0, 60.seconds) }
        longTimeoutStore.put("b", byteArrayOf(), 0)
        longTimeoutStore.put("a", byteArrayOf(), 0)
        expectThat(watch.await().getOrNull()!!.items.map { it.key }).containsExactly("a")
    }

    @Test
    fun `a write with a lost response is uncertain and takes effect`(): Unit = runBlocking {
        service.faults.set(Faults(dropResponses = true))
        expectThat(store.put("k", byteArrayOf(1), 0).leftOrNull()).isA<StoreError.Uncertain>()
        expectThat(longTimeoutStore.get("k").getOrNull()).isNotNull()
    }

    @Test
    fun `a write to an unresponsive or slow service is uncertain`(): Unit = runBlocking {
        for (faults in listOf(Faults(silent = true), Faults(delayMillis = 3_000))) {
            service.faults.set(faults)
            expectThat(store.put("k", byteArrayOf(1), 0).leftOrNull()).isA<StoreError.Uncertain>()
        }
    }

    @Test
    fun `a delayed write takes effect although its caller disconnected`(): Unit = runBlocking {
        service.faults.set(Faults(delayMillis = 3_000))
        expectThat(store.put("k", byteArrayOf(1), 0).leftOrNull()).isA<StoreError.Uncertain>()
        service.faults.set(Faults())
        expectThat(longTimeoutStore.watch("k", 0, 9.seconds).getOrNull()!!.items.map { it.key }).containsExactly("k")
    }

    @Test
    fun `a write is uncertain if the connection closes after it was sent`(): Unit = runBlocking {
        ServerSocket(0).use { socket ->
            val closing = Thread { runCatching { socket.accept().use { it.getInputStream().read() } } }
            closing.start()
            val store = KeyValueStore("http://127.0.0.1:${socket.localPort}")
            expectThat(store.put("k", byteArrayOf(1), 0).leftOrNull()).isA<StoreError.Uncertain>()
        }
    }

    @Test
    fun `an outage and a refused connection are reported as unavailable`(): Unit = runBlocking {
        service.faults.set(Faults(outage = true))
        expectThat(longTimeoutStore.put("k", byteArrayOf(1), 0).leftOrNull()).isA<StoreError.Unavailable>()
        val port = ServerSocket(0).use { it.localPort }
        val closed = KeyValueStore("http://127.0.0.1:$port")
        expectThat(closed.put("k", byteArrayOf(1), 0).leftOrNull()).isA<StoreError.Unavailable>()
    }

    @Test
    fun `an outage ends a waiting watch`(): Unit = runBlocking {
        val watch = async { longTimeoutStore.watch("a", 0, 60.seconds) }
        while ("watch" !in service.callCounts()) delay(5.milliseconds)
        service.faults.set(Faults(outage = true))
        expectThat(watch.await().leftOrNull()).isA<StoreError.Unavailable>()
    }
}
