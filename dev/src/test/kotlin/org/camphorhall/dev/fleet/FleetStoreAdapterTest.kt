package org.camphorhall.dev.fleet

import arrow.core.getOrElse
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.camphorhall.dev.http.TestServer
import org.camphorhall.platform.fleet.fleetOperatorConfig
import org.camphorhall.platform.fleet.fleetStore
import org.camphorhall.platform.store.StoreError
import org.camphorhall.platform.store.StoreTransaction
import org.camphorhall.platform.store.StoreTransaction.Write
import org.camphorhall.platform.store.TransactionalStore
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Tests the adapter for the users' key-value service against a stand-in that speaks its protocol. */
internal class FleetStoreAdapterTest {
    private val service = FleetStoreService()
    private val server = runBlocking {
        TestServer.start("127.0.0.1", 0, service.faults) { service.defineEndpoints(this) }
    }

    // The first request of a test process loads client and server classes, which takes up to a second under load.
    private val store = fleetStore("127.0.0.1:${server.port}", 1.seconds, 3.seconds)

    @AfterEach
    fun stop() = server.stop()

    private fun TransactionalStore.write(key: String, value: String, expected: Long, lease: String? = null) =
        runBlocking { put(key, value.encodeToByteArray(), expected, lease) }

    /** Guards against a transaction that is applied in part or although a condition does not hold. */
    @Test
    fun `a transaction is atomic`() = runBlocking<Unit> {
        val revision = store.write("a", "1", 0).getOrElse { error("$it") }
        val writes = listOf(Write("b", byteArrayOf(1)), Write("c", byteArrayOf(2)))
        val failed = store.commit(StoreTransaction(mapOf("a" to revision, "b" to 9L), writes)).leftOrNull()
        expectThat(failed).isA<StoreError.Conflict>().get { current.map { it.key to it.version } }
            .isEqualTo(listOf("a" to revision))
        expectThat(store.get("c").getOrNull()).isNull()
        val committed = store.commit(StoreTransaction(mapOf("a" to revision, "b" to 0L), writes, deletes = listOf("a")))
        expectThat(store.get("c").getOrNull()?.version).isEqualTo(committed.getOrNull())
        expectThat(store.get("a").getOrNull()).isNull()
    }

    /** Guards against a key that outlives the lease of its owner. */
    @Test
    fun `a key is deleted with its lease`() = runBlocking<Unit> {
        val lease = store.grantLease(5.seconds).getOrElse { error("$it") }
        store.write("k", "v", 0, lease)
        expectThat(store.renewLease(lease).isRight()).isEqualTo(true)
        store.revokeLease(lease)
        expectThat(store.get("k").getOrNull()).isNull()
        expectThat(store.renewLease(lease).leftOrNull()).isEqualTo(StoreError.LeaseExpired)
    }

    /** Guards against a watch that misses changes. */
    @Test
    fun `a watch returns changes and deletions after its revision`() = runBlocking<Unit> {
        val first = store.write("p/a", "1", 0).getOrElse { error("$it") }
        val waiting = async { store.watch("p/", first, 5.seconds) }
        store.write("p/b", "2", 0)
        expectThat(waiting.await().getOrNull()?.items?.map { it.key }).isEqualTo(listOf("p/b"))
        store.delete("p/a", first)
        expectThat(store.watch("p/", first, 1.seconds).getOrNull()?.deleted).isEqualTo(listOf("p/a"))
        expectThat(store.watch("p/", 99, 50.milliseconds).getOrNull()?.items).isEqualTo(emptyList())
    }

    /** Guards against a list that returns only the first page. */
    @Test
    fun `a list returns the items of all pages`() = runBlocking<Unit> {
        repeat(620) { store.write("l/%04d".format(it), "v", 0) }
        expectThat(store.list("l/").getOrNull()?.items?.size).isEqualTo(620)
    }

    /** Guards against rereading the configuration repeatedly after the history since its last change was compacted. */
    @Test
    fun `the configuration is watched from the current revision of the store`() = runBlocking<Unit> {
        store.write("op/config", """{"version":1}""", 0)
        repeat(3) { store.write("other-$it", "v", 0) }
        service.compact()
        val source = fleetOperatorConfig(store)
        val reading = source.read().getOrElse { error("$it") }
        expectThat(reading.config?.version).isEqualTo(1)
        val next = source.awaitChange(reading.revision, 50.milliseconds)
        expectThat(next.leftOrNull()).isNull()
    }

    private val outcomes = mapOf<String, (StoreError?) -> Boolean>(
        """{"outage":true}""" to { it is StoreError.Unavailable },
        """{"dropAnswers":true}""" to { it is StoreError.Uncertain },
        """{"silent":true}""" to { it is StoreError.Uncertain },
        """{"latePercent":100,"lateMillis":5000}""" to { it is StoreError.Uncertain },
    )

    private class LateCase(val isChangedMeanwhile: Boolean, val expected: String)

    private val lateCases = mapOf(
        "the condition still holds" to LateCase(isChangedMeanwhile = false, "late"),
        "the condition holds no more" to LateCase(isChangedMeanwhile = true, "meanwhile"),
    )

    /** Guards against tests of late writes that pass because the stand-in drops them or ignores their conditions. */
    @Test
    fun `a late write takes effect after its caller has given up if its condition still holds`() = runBlocking<Unit> {
        val faults = """{"latePercent":100,"lateMillis":4500}"""
        for ((name, case) in lateCases) {
            service.faults.set(org.camphorhall.dev.http.BufferedResponse.format.decodeFromString(faults))
            expectThat(store.write(name, "late", 0).leftOrNull()).describedAs(name).isA<StoreError.Uncertain>()
            service.faults.set(org.camphorhall.dev.http.Faults())
            expectThat(store.get(name).getOrNull()).describedAs(name).isNull()
            if (case.isChangedMeanwhile) store.write(name, "meanwhile", 0)
            delay(2_500.milliseconds)
            expectThat(store.get(name).getOrNull()?.value?.decodeToString()).describedAs(name).isEqualTo(case.expected)
        }
    }

    /** Guards against a write that is reported as rejected although it may have been committed. */
    @Test
    fun `only a rejected write is reported as not committed`() = runBlocking<Unit> {
        for ((faults, isExpected) in outcomes) {
            service.faults.set(org.camphorhall.dev.http.BufferedResponse.format.decodeFromString(faults))
            val error = store.write("f$faults", "v", 0).leftOrNull()
            expectThat(isExpected(error)).describedAs("$faults gave $error").isEqualTo(true)
        }
    }
}
