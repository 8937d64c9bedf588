package org.camphorhall.dev.backend

import io.ktor.http.HttpMethod
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.header
import kotlinx.coroutines.delay
import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.sync.withPermit
import kotlinx.serialization.Serializable
import org.camphorhall.dev.http.BufferedResponse
import org.camphorhall.dev.http.Endpoints
import org.camphorhall.dev.http.FaultInjector
import org.camphorhall.dev.http.bodyText
import org.camphorhall.dev.http.param
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Sample backend server: runs at most [slots] requests at once, each for its service time, and echoes the body. A
 * request runs to completion even if its caller disconnects.
 */
internal class BackendService(
    slots: Int,
    private val serviceTimes: Map<String, Duration>,
    private val clock: () -> Long = System::nanoTime,
) {
    private val permits = Semaphore(slots)
    val counts = RequestCounts()
    val faults = FaultInjector()

    fun defineEndpoints(endpoints: Endpoints) = with(endpoints) {
        endpoint(HttpMethod.Post, "/") { call -> serve(call, call.request.header("X-Class")) }
        // Same path as at an entry, so that the load generator can measure a backend server directly.
        endpoint(HttpMethod.Post, "/v1/classes/{class}/requests") { call -> serve(call, call.param("class")) }
        debugEndpoint(HttpMethod.Get, "/debug/runs") { BufferedResponse.json(counts.report()) }
    }

    /** Waits until no request has been in flight for [idlePeriod]. */
    suspend fun awaitIdle(idlePeriod: Duration) {
        var idle = Duration.ZERO
        while (idle < idlePeriod) {
            delay(IDLE_CHECK_PERIOD)
            idle = if (counts.inFlight == 0) idle + IDLE_CHECK_PERIOD else Duration.ZERO
        }
    }

    private suspend fun serve(call: ApplicationCall, name: String?): BufferedResponse {
        val body = call.bodyText()
        val id = call.request.header("X-Request-Id").orEmpty()
        val time = requestedServiceTime(body) ?: serviceTimes[name] ?: Duration.ZERO
        counts.recordArrival(clock())
        permits.withPermit {
            counts.recordStart(id)
            delay(time)
            counts.recordEnd()
        }
        return BufferedResponse(body = body.encodeToByteArray(), headers = mapOf("X-Request-Id" to id))
    }

    private fun requestedServiceTime(body: String): Duration? {
        if (!body.startsWith("{")) return null
        val request = runCatching { BufferedResponse.format.decodeFromString<RequestBody>(body) }.getOrNull()
        return request?.millis?.milliseconds
    }

    @Serializable
    private class RequestBody(val millis: Long? = null)

    private companion object {
        val IDLE_CHECK_PERIOD = 25.milliseconds
    }
}
