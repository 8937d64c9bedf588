package org.camphorhall.dev.load

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.engine.cio.endpoint
import io.ktor.client.request.header
import io.ktor.client.request.post
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsText
import io.ktor.http.encodeURLPathPart
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.Serializable
import org.camphorhall.dev.http.BufferedResponse
import java.net.ConnectException
import kotlin.time.Duration

/** Sends requests to entries and classifies their outcomes. */
internal class RequestSender(private val options: Options) {
    /** Settings shared by all requests of a run. */
    class Options(
        val tenant: String,
        /** Body of each request; `{id}` stands for the request id. */
        val body: String,
        val idPrefix: String,
        val timeout: Duration,
        /** Sends an idempotency key with each request. */
        val withIdempotencyKey: Boolean,
        /** Requires the response body to equal the request body. */
        val verifyBody: Boolean,
        val maxInFlight: Int,
    )

    private val client = HttpClient(CIO) {
        expectSuccess = false
        engine {
            requestTimeout = 0
            maxConnectionsCount = options.maxInFlight
            endpoint {
                connectAttempts = 1
                maxConnectionsPerRoute = options.maxInFlight
                connectTimeout = options.timeout.inWholeMilliseconds
            }
        }
    }

    /** Sends request [number] of class [className] and returns its outcome, such as `not-run/queue-full`. */
    suspend fun send(entry: String, className: String, number: Long): String = try {
        // The entry responds with the reason when a request times out, so the client waits longer than the timeout.
        withTimeoutOrNull(options.timeout + RESPONSE_MARGIN) { exchange(entry, className, number) }
            ?: "unknown/client-timeout"
    } catch (e: ConnectException) {
        "not-run/connection-refused"
    } catch (e: Exception) {
        currentCoroutineContext().ensureActive()
        "unknown/connection-broken"
    }

    private suspend fun exchange(entry: String, className: String, number: Long): String {
        val id = "${options.idPrefix}-$number"
        val body = options.body.replace("{id}", id)
        val response = client.post("${entry.trimEnd('/')}/v1/classes/${className.encodeURLPathPart()}/requests") {
            header("X-Request-Id", id)
            header("X-Tenant", options.tenant)
            header("X-Timeout-Ms", options.timeout.inWholeMilliseconds)
            if (options.withIdempotencyKey) header("Idempotency-Key", id)
            setBody(body)
        }
        val text = response.bodyAsText()
        return if (response.status.value == OK) {
            completedOutcome(response, text, id, body)
        } else {
            rejectedOutcome(response, text)
        }
    }

    private fun completedOutcome(response: HttpResponse, text: String, id: String, body: String): String {
        val respondedId = response.headers["X-Request-Id"]
        val matches = (respondedId == null || respondedId == id) && (!options.verifyBody || text == body)
        return if (matches) Recorder.COMPLETED else "mismatched-answer"
    }

    private fun rejectedOutcome(response: HttpResponse, text: String): String {
        val problem = runCatching { BufferedResponse.format.decodeFromString<Problem>(text) }.getOrNull()
        val outcome = problem?.outcome ?: return "status-${response.status.value}"
        return outcome + problem.reason?.let { "/$it" }.orEmpty()
    }

    @Serializable
    private class Problem(val outcome: String? = null, val reason: String? = null)

    private companion object {
        const val OK = 200
        val RESPONSE_MARGIN = Duration.parse("1s")
    }
}
