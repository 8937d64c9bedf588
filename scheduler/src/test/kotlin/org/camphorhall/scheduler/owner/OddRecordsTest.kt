package org.camphorhall.scheduler.owner

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.runBlocking
import org.camphorhall.core.jobs.JobClass
import org.camphorhall.core.jobs.JobPhase
import org.camphorhall.core.jobs.JobRecord
import org.camphorhall.core.jobs.JobSpec
import org.camphorhall.core.jobs.ProgressRecord
import org.camphorhall.core.jobs.StepSpec
import org.camphorhall.core.model.Resources
import org.camphorhall.scheduler.peer.PeerSockets
import org.camphorhall.scheduler.protocol.OwnerRequest
import org.camphorhall.scheduler.protocol.documentJson
import org.camphorhall.scheduler.support.JobRecordStore
import org.camphorhall.scheduler.support.OwnerClient
import org.camphorhall.scheduler.support.OwnerFinder
import org.camphorhall.scheduler.support.ShardKeys
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import strikt.assertions.isTrue
import kotlin.time.Duration.Companion.milliseconds

/** Records in the store that another writer left, beside good ones. */
internal class OddRecordsTest {
    private val store = InMemoryTransactionalStore()
    private val keys = ShardKeys(0)
    private val good = record(GOOD)

    private fun record(id: String) = JobRecord(
        id,
        JobSpec("payload", listOf(StepSpec(1, Resources(1_000, 100)))),
        JobClass("class", "service", 0, 2, 1.5, 250, 3_000),
        acceptedAtMillis = 0,
    )

    private val text = documentJson.encodeToString(JobRecord.serializer(), good)

    private fun change(from: String, to: String): ByteArray {
        check(from in text) { text }
        return text.replace(from, to).encodeToByteArray()
    }

    private val oddRecords = mapOf(
        "nested arrays" to NESTED.encodeToByteArray(),
        "nested arrays in an unknown field" to change("{\"id\"", "{\"x\":$NESTED,\"id\""),
        "unclosed arrays" to "[".repeat(DEPTH).encodeToByteArray(),
        "no bytes" to ByteArray(0),
        "bytes that are not UTF-8" to byteArrayOf(-1, 0, -2),
        "null" to "null".encodeToByteArray(),
        "an empty object" to "{}".encodeToByteArray(),
        "no tasks" to change("\"tasks\":1", "\"tasks\":0"),
        "a negative number of tasks" to change("\"tasks\":1", "\"tasks\":-1"),
        "too many tasks" to change("\"tasks\":1", "\"tasks\":2147483647"),
        "a number of tasks of 1e400" to change("\"tasks\":1", "\"tasks\":1e400"),
        "a stretch of 1e400" to change("\"stretch\":1.5", "\"stretch\":1e400"),
        "the record of another job" to text.encodeToByteArray(),
    )

    /** Guards against an owner that fails whenever it loads its shard, and against good jobs that it does not see. */
    @Test
    fun `an odd job record hides no other job`(): Unit = runBlocking {
        store.put(keys.job(GOOD), text.encodeToByteArray(), 0)
        for ((name, bytes) in oddRecords) store.put(keys.job("$ODD ${name.hashCode()}"), bytes, 0)
        val loaded = onSmallStack { ShardStore(store, keys).load().getOrNull()?.jobs?.map { it.record.id } }
        expectThat(loaded).isEqualTo(Result.success(listOf(GOOD)))
        val changed = onSmallStack {
            ShardStore(store, keys).awaitInboxChange(0).getOrNull()?.jobs?.map { it.record.id }
        }
        expectThat(changed).isEqualTo(Result.success(listOf(GOOD)))
    }

    /** Guards against a caller without a response and a shard without an owner because of one odd progress record. */
    @Test
    fun `an odd progress record is an error of its job only`(): Unit = runBlocking {
        val progress = documentJson.encodeToString(ProgressRecord.serializer(), ProgressRecord(JobPhase.Running))
        store.put(keys.job(GOOD), text.encodeToByteArray(), 0)
        store.put(keys.progress(GOOD), progress.encodeToByteArray(), 0)
        store.put(keys.job(ODD), change(GOOD, ODD), 0)
        for ((name, bytes) in oddRecords - "the record of another job") {
            store.put(keys.progress(ODD), bytes, 0)
            val records = JobRecordStore(store, 1)
            val phase = onSmallStack { records.phaseOf(ODD).isLeft() }
            expectThat(phase).describedAs(name).isEqualTo(Result.success(true))
            val loaded = onSmallStack { ShardStore(store, keys).load().getOrNull()?.jobs?.map { it.progress?.phase } }
            expectThat(loaded).describedAs(name).isEqualTo(Result.success(listOf(JobPhase.Running, null)))
            store.delete(keys.progress(ODD), store.get(keys.progress(ODD)).getOrNull()?.version ?: 0)
        }
    }

    private val oddAddresses = listOf(
        "127.0.0.1:99999", "127.0.0.1:-1", "127.0.0.1:0", "127.0.0.1", ":", "", "[", "127.0.0.1:80/x y",
        "127.0.0.1:80 80", "host name:80", "\u0000:80", "127.0.0.1:99999999999",
    )

    /** Guards against a caller, an owner or an agent that fails because the address of an owner is none. */
    @Test
    fun `requests to an odd address fail as requests`(): Unit = runBlocking {
        val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
        PeerSockets().use { sockets ->
            val client = OwnerClient(sockets, scope)
            for (address in oddAddresses) {
                val result = runCatching { client.send(address, OwnerRequest.CountPending("c"), 500.milliseconds) }
                expectThat(result.exceptionOrNull()).describedAs("address '$address'").isNull()
                val failure = result.getOrNull()?.leftOrNull()
                expectThat(failure?.isNotSent).describedAs("address '$address'").isEqualTo(true)
            }
        }
        scope.cancel()
    }

    /** Guards against an odd record that replaces the known owner, which no later one could replace. */
    @Test
    fun `an odd owner record does not replace a good one`(): Unit = runBlocking {
        val odd = oddAddresses.map { ShardOwnerRecord(7, "odd", it) } +
            listOf(Long.MAX_VALUE, Long.MAX_VALUE - 1, -1).map { ShardOwnerRecord(it, "odd", "127.0.0.1:80") }
        val finder = OwnerFinder(store, keys)
        for (record in odd) finder.update(record)
        expectThat(finder.owner).isNull()
        val first = ShardOwnerRecord(1, "good", "127.0.0.1:81")
        finder.update(first)
        for (record in odd) finder.update(record)
        expectThat(finder.owner).isEqualTo(first)
    }

    /** Guards against an epoch that overflows, and against an Error of the decoder. */
    @Test
    fun `odd owner records are errors`() {
        val address = "\"instance\":\"i\",\"address\":\"127.0.0.1:80\"}"
        val epochs = listOf("9223372036854775807", "-1", "1e400", "1e308", "99999999999999999999", "null")
        val odd = oddRecords.values + epochs.map { "{\"epoch\":$it,$address".encodeToByteArray() }
        for (bytes in odd) {
            val result = onSmallStack { decodeOwner(bytes).isLeft() }
            expectThat(result).describedAs(bytes.decodeToString().take(60)).isEqualTo(Result.success(true))
        }
        val nested = "{\"epoch\":3,\"x\":$NESTED,$address".encodeToByteArray()
        expectThat(decodeOwner(nested).getOrNull()?.epoch).isEqualTo(3)
        expectThat(decodeOwner("{\"epoch\":3,$address".encodeToByteArray()).isRight()).isTrue()
    }

    private fun <T> onSmallStack(block: suspend () -> T): Result<T> {
        var result: Result<T>? = null
        Thread(null, { result = runCatching { runBlocking { block() } } }, "small stack", SMALL_STACK).run {
            start()
            join()
        }
        return checkNotNull(result)
    }

    private companion object {
        const val GOOD = "00000000000000aa"
        const val ODD = "00000000000000bb"
        const val DEPTH = 100_000
        val NESTED = "[".repeat(DEPTH) + "]".repeat(DEPTH)
        const val SMALL_STACK = 262_144L
    }
}
