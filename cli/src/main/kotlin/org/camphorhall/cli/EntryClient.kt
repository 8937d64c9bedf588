package org.camphorhall.cli

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.network.sockets.ConnectTimeoutException
import io.ktor.client.plugins.HttpTimeout
import io.ktor.client.plugins.timeout
import io.ktor.client.request.header
import io.ktor.client.request.request
import io.ktor.client.request.setBody
import io.ktor.client.statement.bodyAsText
import io.ktor.http.ContentType
import io.ktor.http.HttpMethod
import io.ktor.http.contentType
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import java.net.ConnectException
import java.net.NoRouteToHostException
import java.nio.channels.UnresolvedAddressException

private const val CONNECT_TIMEOUT_MILLIS = 2_000L

/** Calls the entries at [urls] in order, each only after the connections to all earlier ones failed. */
internal class EntryClient(private val urls: List<String>) : AutoCloseable {
    private val http = HttpClient(CIO) {
        followRedirects = false
        install(HttpTimeout) { connectTimeoutMillis = CONNECT_TIMEOUT_MILLIS }
    }

    /**
     * Sends [request]. If an established connection breaks, only a retryable request goes to the next entry, because
     * the first entry may have executed it. A GET is read-only, so without a response it counts as not received.
     */
    suspend fun call(request: EntryRequest): Either<CallFailure, EntryResponse> {
        val causes = mutableListOf<String>()
        var connectionLost: CallFailure.ConnectionLost? = null
        for (url in urls) {
            try {
                return send(url, request).right()
            } catch (e: Exception) {
                currentCoroutineContext().ensureActive()
                val cause = e.message ?: e::class.simpleName.orEmpty()
                causes += "$url: $cause"
                if (!isConnectFailure(e) && request.method != HttpMethod.Get) {
                    connectionLost = CallFailure.ConnectionLost(url, cause)
                    if (!request.retryable) return connectionLost.left()
                }
            }
        }
        return (connectionLost ?: CallFailure.Unreachable(causes)).left()
    }

    override fun close(): Unit = http.close()

    private suspend fun send(url: String, r: EntryRequest): EntryResponse {
        val response = http.request(url + r.path) {
            method = r.method
            timeout { requestTimeoutMillis = r.timeout.inWholeMilliseconds }
            r.headers.forEach { (k, v) -> header(k, v) }
            r.body?.let {
                contentType(if (r.isJson) ContentType.Application.Json else ContentType.Application.OctetStream)
                setBody(it.encodeToByteArray())
            }
        }
        return EntryResponse(response.status.value, response.headers["X-Request-Id"], response.bodyAsText())
    }
}

private fun isConnectFailure(e: Exception): Boolean = e is ConnectException || e is ConnectTimeoutException ||
    e is UnresolvedAddressException || e is NoRouteToHostException
