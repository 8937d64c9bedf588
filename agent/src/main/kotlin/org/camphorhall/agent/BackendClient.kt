package org.camphorhall.agent

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.plugins.HttpTimeout
import io.ktor.client.plugins.timeout
import io.ktor.client.request.header
import io.ktor.client.request.post
import io.ktor.client.request.setBody
import io.ktor.client.statement.bodyAsBytes
import org.camphorhall.core.agent.BackendAnswer
import org.camphorhall.core.agent.Request
import java.net.ConnectException
import java.nio.channels.UnresolvedAddressException
import kotlin.time.Duration

/** Sends requests to the backend servers of this worker. */
internal class BackendClient : AutoCloseable {
    private val http = HttpClient(CIO) {
        expectSuccess = false
        install(HttpTimeout) { connectTimeoutMillis = CONNECT_MILLIS }
        engine {
            maxConnectionsCount = MAX_CONNECTIONS
            endpoint.maxConnectionsPerRoute = MAX_CONNECTIONS
        }
    }

    /** Response of a backend server: how the call ended, and the body; empty if none arrived. */
    class Response(val answer: BackendAnswer, val body: ByteArray)

    /**
     * Sends one request. [remaining] is the time to its deadline; the call itself may take longer, because the request
     * keeps its slot until the backend server has completed it.
     */
    suspend fun send(url: String, request: Request, body: ByteArray, remaining: Duration): Response = try {
        val response = http.post(url) {
            header("X-Request-Id", request.id.value)
            header("X-Class", request.className.value)
            header("X-Timeout-Ms", remaining.inWholeMilliseconds.coerceAtLeast(0))
            timeout { requestTimeoutMillis = remaining.inWholeMilliseconds.coerceAtLeast(0) + RESPONSE_GRACE_MILLIS }
            setBody(body)
        }
        val bytes = response.bodyAsBytes()
        Response(if (response.status.value in SUCCESS_STATUS) BackendAnswer.Completed else BackendAnswer.Failed, bytes)
    } catch (e: ConnectException) {
        Response(BackendAnswer.NotReached, ByteArray(0))
    } catch (e: UnresolvedAddressException) {
        Response(BackendAnswer.NotReached, ByteArray(0))
    } catch (e: java.io.IOException) {
        Response(BackendAnswer.Lost, ByteArray(0))
    }

    override fun close(): Unit = http.close()

    private companion object {
        const val CONNECT_MILLIS = 1_000L

        /** Time after its deadline for which a request keeps its slot while the backend server does not respond. */
        const val RESPONSE_GRACE_MILLIS = 30_000L
        const val MAX_CONNECTIONS = 256
        val SUCCESS_STATUS = 200..299
    }
}
