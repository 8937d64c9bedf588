package org.camphorhall.dev.store

import io.ktor.http.HttpMethod
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.receive
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.update
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.Serializable
import org.camphorhall.dev.http.BufferedResponse
import org.camphorhall.dev.http.Endpoints
import org.camphorhall.dev.http.FaultInjector
import org.camphorhall.dev.http.longParam
import org.camphorhall.dev.http.param
import java.util.Base64
import java.util.TreeMap
import kotlin.time.Duration.Companion.milliseconds

/** HTTP API of the key-value service over [StoreState]. [clock] returns monotonic nanoseconds. */
internal class StoreService(private val clock: () -> Long = System::nanoTime) {
    private val state = StoreState()
    private val mutex = Mutex()

    /** Incremented on every change of the state or the faults, which wakes waiting watches. */
    private val changeCount = MutableStateFlow(0L)
    private val callCounts = TreeMap<String, Long>()

    val faults = FaultInjector { new ->
        if (new.expireLeases) locked("") { revokeAllLeases(it) }
        changeCount.update { it + 1 }
    }

    fun defineEndpoints(endpoints: Endpoints) = with(endpoints) {
        endpoint(HttpMethod.Get, "/kv/{key...}") { call ->
            val key = call.key()
            locked("get") { get(key, it) }?.let { versionedResponse(it.version, it.value) } ?: notFound("no such key")
        }
        endpoint(HttpMethod.Put, "/kv/{key...}") { call ->
            val value = call.receive<ByteArray>()
            val expected = call.longParam("expected")
            val lease = call.parameters["lease"]
            if (value.size > MAX_VALUE_BYTES) {
                BufferedResponse.error(413, "the value is over 1 MB")
            } else {
                writeResponse(locked("put") { put(call.key(), value, expected, lease, it) })
            }
        }
        endpoint(HttpMethod.Delete, "/kv/{key...}") { call ->
            val expected = call.longParam("expected")
            writeResponse(locked("delete") { delete(call.key(), expected, it) })
        }
        endpoint(HttpMethod.Get, "/kv") { call ->
            val prefix = call.param("prefix")
            changesResponse(locked("list") { list(prefix, it) })
        }
        endpoint(HttpMethod.Get, "/watch") { call -> watch(call) }
        endpoint(HttpMethod.Post, "/leases") { call ->
            val ttl = call.longParam("ttlMillis").milliseconds
            BufferedResponse.json(Lease(locked("grantLease") { grant(ttl.inWholeNanoseconds, it) }))
        }
        endpoint(HttpMethod.Put, "/leases/{id}") { call ->
            val isRenewed = locked("renewLease") { renew(call.param("id"), it) }
            if (isRenewed) BufferedResponse() else notFound("the lease has ended")
        }
        endpoint(HttpMethod.Delete, "/leases/{id}") { call ->
            val isRevoked = locked("revokeLease") { revoke(call.param("id"), it) }
            if (isRevoked) BufferedResponse() else notFound("the lease has ended")
        }
        debugEndpoint(HttpMethod.Get, "/debug/calls") { BufferedResponse.json(callCounts()) }
    }

    /** Number of handled requests by kind, such as `get` or `renewLease`. */
    suspend fun callCounts(): Map<String, Long> = mutex.withLock { TreeMap(callCounts) }

    /** Ends expired leases, so that watches report their keys as deleted without another request. */
    suspend fun expireLeases() = locked("") { expireLeases(it) }

    private suspend fun watch(call: ApplicationCall): BufferedResponse {
        val prefix = call.param("prefix")
        val after = call.longParam("after")
        val wait = call.longParam("waitMillis").milliseconds
        var seenCount = changeCount.value
        val activeFaults = faults.active
        var changes = locked("watch") { changes(prefix, after, it) }
        withTimeoutOrNull(wait) {
            while (changes.isEmpty && faults.active == activeFaults) {
                seenCount = changeCount.first { it != seenCount }
                changes = locked("") { changes(prefix, after, it) }
            }
        }
        return changesResponse(changes)
    }

    private suspend fun <T> locked(kind: String, action: StoreState.(Long) -> T): T = mutex.withLock {
        if (kind.isNotEmpty()) callCounts.merge(kind, 1, Long::plus)
        val before = state.revision
        val result = state.action(clock())
        if (state.revision != before) changeCount.update { it + 1 }
        result
    }

    private fun changesResponse(changes: StoreState.Changes): BufferedResponse {
        val items = changes.items.map { Item(it.key, it.version, Base64.getEncoder().encodeToString(it.value)) }
        return BufferedResponse.json(ChangesJson(changes.revision, items, changes.deleted))
    }

    private fun writeResponse(write: StoreState.WriteResult): BufferedResponse = when (write) {
        is StoreState.WriteResult.Applied -> versionedResponse(write.version, ByteArray(0))
        is StoreState.WriteResult.VersionMismatch ->
            BufferedResponse.error(409, "version mismatch", versionHeader(write.current))
        StoreState.WriteResult.LeaseNotFound -> notFound("the lease has ended")
    }

    private fun versionedResponse(version: Long, body: ByteArray) =
        BufferedResponse(body = body, headers = versionHeader(version))

    private fun versionHeader(version: Long) = mapOf("X-Version" to version.toString())

    private fun notFound(detail: String) = BufferedResponse.error(404, detail)

    private fun ApplicationCall.key(): String = parameters.getAll("key").orEmpty().joinToString("/")

    @Serializable
    private class Lease(val id: String)

    @Serializable
    private class Item(val key: String, val version: Long, val value: String)

    @Serializable
    private class ChangesJson(val revision: Long, val items: List<Item>, val deleted: List<String>)

    private companion object {
        const val MAX_VALUE_BYTES = 1_000_000
    }
}
