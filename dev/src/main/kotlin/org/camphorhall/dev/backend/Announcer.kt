package org.camphorhall.dev.backend

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.request.delete
import io.ktor.client.request.put
import io.ktor.client.request.setBody
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.Serializable
import org.camphorhall.core.model.Resources
import org.camphorhall.dev.http.BufferedResponse
import kotlin.time.Duration.Companion.seconds

/** Announces a backend server to the agent at [agentUrl] and sends its leave notice. */
internal class Announcer(agentUrl: String, id: String) {
    private val client = HttpClient(CIO)
    private val url = "${agentUrl.trimEnd('/')}/v1/backends/$id"

    /** Sends the current [announcement] every second until cancelled. */
    suspend fun announce(announcement: () -> Announcement) {
        while (true) {
            val body = BufferedResponse.format.encodeToString(announcement())
            sendWithTimeout { client.put(url) { setBody(body) } }
            delay(ANNOUNCEMENT_PERIOD)
        }
    }

    suspend fun sendLeaveNotice() = sendWithTimeout { client.delete(url) }

    private suspend fun sendWithTimeout(call: suspend () -> Unit) {
        try {
            withTimeoutOrNull(REQUEST_TIMEOUT) { call() }
        } catch (e: Exception) {
            currentCoroutineContext().ensureActive()
            System.err.println("request to the agent at $url failed: $e")
        }
    }

    @Serializable
    class Announcement(
        val classes: List<String>,
        val url: String,
        val slots: Int,
        val connections: Int,
        val perRequest: Resources,
        val ttlMillis: Long,
        val running: Int,
        val leaving: Boolean,
    )

    private companion object {
        val ANNOUNCEMENT_PERIOD = 1.seconds
        val REQUEST_TIMEOUT = 1.seconds
    }
}
