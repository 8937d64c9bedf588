package org.camphorhall.dev.fleet

import io.ktor.http.HttpMethod
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.receive
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.update
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.camphorhall.dev.http.BufferedResponse
import org.camphorhall.dev.http.Endpoints
import org.camphorhall.dev.http.FaultInjector
import org.camphorhall.dev.http.longParam
import org.camphorhall.dev.http.param
import org.camphorhall.dev.store.StoreState
import java.util.Base64
import kotlin.time.Duration.Companion.milliseconds

/** HTTP API of the users' key-value service over [StoreState]. [clock] returns monotonic nanoseconds. */
internal class FleetStoreService(private val clock: () -> Long = System::nanoTime) {
    private val state = StoreState()
    private val mutex = Mutex()

    /** Incremented on every change of the state or the faults, which wakes waiting watches. */
    private val changeCount = MutableStateFlow(0L)

    /** Watches that start before this revision are rejected. */
    @Volatile
    private var compactedRevision = 0L

    val faults = FaultInjector { new ->
        if (new.expireLeases) locked { revokeAllLeases(it) }
        changeCount.update { it + 1 }
    }

    fun defineEndpoints(endpoints: Endpoints) = with(endpoints) {
        endpoint(HttpMethod.Get, "/v1/kv-key") { call ->
            val entry = locked { get(call.param("key"), it) }
            if (entry == null) {
                BufferedResponse.error(NOT_FOUND, "no such key")
            } else {
                BufferedResponse.json(itemOf(entry))
            }
        }
        endpoint(HttpMethod.Get, "/v1/kv-range") { call -> range(call) }
        endpoint(HttpMethod.Get, "/v1/kv-watch") { call -> watch(call) }
        endpoint(HttpMethod.Post, "/v1/kv-txn") { call -> commit(call) }
        endpoint(HttpMethod.Post, "/v1/kv-lease") { call ->
            val body = call.receive<ByteArray>().decodeToString()
            val ttl = BufferedResponse.format.decodeFromString<LeaseJson>(body).ttl
            val id = locked { grant(ttl.milliseconds.inWholeNanoseconds, it) }
            BufferedResponse.json(LeaseJson(id.substringAfter('-').toLong(), ttl))
        }
        endpoint(HttpMethod.Post, "/v1/kv-keep/{id}") { call ->
            leaseResponse(locked { renew("lease-${call.param("id")}", it) })
        }
        endpoint(HttpMethod.Delete, "/v1/kv-lease-end/{id}") { call ->
            leaseResponse(locked { revoke("lease-${call.param("id")}", it) })
        }
        debugEndpoint(HttpMethod.Put, "/debug/compact") {
            compact()
            BufferedResponse()
        }
        debugEndpoint(HttpMethod.Put, "/debug/key/{key...}") { call ->
            val key = call.parameters.getAll("key").orEmpty().joinToString("/")
            val value = call.receive<ByteArray>()
            locked { commit(emptyMap(), listOf(StoreState.NewEntry(key, value, null)), emptyList(), it) }
            BufferedResponse()
        }
    }

    /** Rejects watches that start before the current revision, as after a compaction of the history. */
    suspend fun compact() {
        compactedRevision = locked { revision }
    }

    /** Ends expired leases, so that watches report their keys as deleted without another request. */
    suspend fun expireLeases() = locked { expireLeases(it) }

    private fun leaseResponse(exists: Boolean) =
        if (exists) BufferedResponse() else BufferedResponse.error(NOT_FOUND, "no such lease")

    private suspend fun range(call: ApplicationCall): BufferedResponse {
        val after = call.parameters["after"].orEmpty()
        val all = locked { list(call.param("prefix"), it) }
        val rest = all.items.filter { it.key > after }
        return BufferedResponse.json(RangeJson(rest.take(PAGE_SIZE).map(::itemOf), rest.size > PAGE_SIZE, all.revision))
    }

    private suspend fun watch(call: ApplicationCall): BufferedResponse {
        val prefix = call.param("prefix")
        val after = call.longParam("after")
        val wait = call.longParam("wait-ms").milliseconds
        if (after < compactedRevision) return BufferedResponse.error(GONE, "revision $after is compacted")
        var seenCount = changeCount.value
        var changes = locked { changes(prefix, after, it) }
        withTimeoutOrNull(wait) {
            while (changes.isEmpty) {
                seenCount = changeCount.first { it != seenCount }
                changes = locked { changes(prefix, after, it) }
            }
        }
        val events = changes.items.map(::itemOf) + changes.deleted.map { ItemJson(it, deleted = true) }
        return BufferedResponse.json(EventsJson(events, changes.revision))
    }

    private suspend fun commit(call: ApplicationCall): BufferedResponse {
        val body = call.receive<ByteArray>().decodeToString()
        val transaction = BufferedResponse.format.decodeFromString<TransactionJson>(body)
        if (transaction.writes.size + transaction.remove.size + transaction.expect.size > MAX_TRANSACTION_ENTRIES) {
            return BufferedResponse.error(BAD_REQUEST, "the transaction has more than $MAX_TRANSACTION_ENTRIES entries")
        }
        val writes = transaction.writes.map { write ->
            StoreState.NewEntry(write.key, Base64.getDecoder().decode(write.value), write.lease?.let { "lease-$it" })
        }
        val expected = transaction.expect.associate { it.key to it.revision }
        return when (val result = locked { commit(expected, writes, transaction.remove, it) }) {
            is StoreState.WriteResult.Applied -> BufferedResponse.json(RevisionJson(result.version))
            is StoreState.WriteResult.VersionMismatch -> {
                val items = locked { now -> expected.keys.mapNotNull { get(it, now) } }.map(::itemOf)
                val response = BufferedResponse.json(RangeJson(items, false, 0))
                BufferedResponse(CONDITION_FAILED, response.body)
            }
            StoreState.WriteResult.LeaseNotFound -> BufferedResponse.error(NOT_FOUND, "no such lease")
        }
    }

    private fun itemOf(entry: StoreState.Entry) =
        ItemJson(entry.key, Base64.getEncoder().encodeToString(entry.value), entry.version)

    private suspend fun <T> locked(action: StoreState.(Long) -> T): T = mutex.withLock {
        val before = state.revision
        val result = state.action(clock())
        if (state.revision != before) changeCount.update { it + 1 }
        result
    }

    @Serializable
    private class ItemJson(
        val key: String,
        val value: String? = null,
        val revision: Long = 0,
        val deleted: Boolean = false,
    )

    @Serializable
    private class RangeJson(
        val items: List<ItemJson>,
        @SerialName("has-more") val hasMore: Boolean,
        @SerialName("store-revision") val revision: Long,
    )

    @Serializable
    private class EventsJson(val events: List<ItemJson>, @SerialName("store-revision") val revision: Long)

    @Serializable
    private class LeaseJson(val lease: Long = 0, @SerialName("ttl-ms") val ttl: Long)

    @Serializable
    private class RevisionJson(val revision: Long)

    @Serializable
    private class ConditionJson(val key: String, val revision: Long)

    @Serializable
    private class WriteJson(val key: String, val value: String, val lease: Long? = null)

    @Serializable
    private class TransactionJson(
        val expect: List<ConditionJson> = emptyList(),
        val writes: List<WriteJson> = emptyList(),
        val remove: List<String> = emptyList(),
    )

    private companion object {
        const val PAGE_SIZE = 500
        const val MAX_TRANSACTION_ENTRIES = 32
        const val BAD_REQUEST = 400
        const val NOT_FOUND = 404
        const val GONE = 410
        const val CONDITION_FAILED = 412
    }
}
