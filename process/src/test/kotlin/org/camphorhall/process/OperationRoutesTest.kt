package org.camphorhall.process

import io.ktor.server.cio.CIO
import io.ktor.server.engine.embeddedServer
import io.ktor.server.routing.get
import io.ktor.server.routing.routing
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.jsonObject
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse

class OperationRoutesTest {
    private val http = HttpClient.newHttpClient()

    @Test
    fun `operation routes and problem responses have the documented status and content type`() {
        val metrics = Metrics()
        metrics.counter("requests", "Requests.", "class").labelValues("quotes").inc()
        metrics.histogram("wait_seconds", "Wait.").observe(0.003)
        val calls = metrics.deferredCounter("calls", "Calls.", "call")
        repeat(2) { calls.increment("Get") }
        var ready = false
        val problem = Problem(
            409,
            "conflict",
            reason = "key-in-progress",
            extra = mapOf("current" to JsonPrimitive(7), "status" to JsonPrimitive(1)),
        )
        val server = embeddedServer(CIO, port = 0, host = "127.0.0.1") {
            routing {
                operationRoutes(metrics) { ready }
                get("/problem") { call.respondProblem(problem) }
            }
        }.start()
        try {
            val port = runBlocking { server.engine.resolvedConnectors().first().port }
            fun get(path: String) = http.send(
                HttpRequest.newBuilder(URI("http://127.0.0.1:$port$path")).build(),
                HttpResponse.BodyHandlers.ofString(),
            )
            expectThat(get("/healthz").statusCode()) isEqualTo 200
            expectThat(get("/readyz").statusCode()) isEqualTo 503
            ready = true
            expectThat(get("/readyz").statusCode()) isEqualTo 200
            expectThat(get("/metrics").body()).contains("requests_total{class=\"quotes\"} 1.0")
                .contains("calls_total{call=\"Get\"} 2.0")
                .contains("wait_seconds_bucket{le=\"0.002\"} 0").contains("wait_seconds_bucket{le=\"0.005\"} 1")
            calls.increment("Get")
            expectThat(get("/metrics").body()).contains("calls_total{call=\"Get\"} 3.0")
            val response = get("/problem")
            expectThat(response.statusCode()) isEqualTo 409
            expectThat(response.headers().firstValue("Content-Type").get().substringBefore(';'))
                .isEqualTo("application/problem+json")
            // An extension member cannot replace a standard one.
            val body = Json.parseToJsonElement(response.body()).jsonObject
            expectThat(body["status"]) isEqualTo JsonPrimitive(409)
            expectThat(body["current"]) isEqualTo JsonPrimitive(7)
        } finally {
            server.stop(0, 0)
        }
    }
}
