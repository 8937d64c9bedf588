package org.camphorhall.entry.http

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestInstance
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse

/** Guards against running invalid calls, and against rejections without the outcome and reason that callers need. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class ErrorResponseTest {
    private val entry = TestEntry()
    private val http = HttpClient.newHttpClient()

    @AfterAll
    fun stop() = entry.close()

    @Test
    fun `rejects a body over the size limit`() =
        expectNotRun(413, null, "longer than 1000 bytes", call("lookups", "x".repeat(1_001)))

    @Test
    fun `rejects headers over the size limit`() {
        val headers = (1..4).associate { "X-Filler-$it" to "x".repeat(4_200) }
        expectNotRun(400, null, "headers are longer", call("lookups", "", headers))
    }

    @Test
    fun `rejects a request without an idempotency key if its class requires one`() =
        expectNotRun(400, null, "Idempotency-Key is required", call("quotes", ""))

    @Test
    fun `rejects an unknown class`() = expectNotRun(404, "unknown-class", null, call("none", ""))

    @Test
    fun `rejects a request of a batch class`() =
        expectNotRun(400, null, "submit a job instead", call("plans", ""))

    @Test
    fun `rejects an invalid timeout`() {
        for (text in listOf("soon", "0", "-1", "300001", "99999999999999999999")) {
            expectNotRun(400, null, "X-Timeout-Ms", call("lookups", "", mapOf("X-Timeout-Ms" to text)))
        }
    }

    @Test
    fun `rejects an unknown JSON field`() {
        val job = """{"class":"plans","resources":{"cpuMillis":1},"pin":"worker-1"}"""
        expectNotRun(400, null, "pin", send("POST", "/v1/jobs", job))
        val item = """{"name":"quotes","target":{"type":"answer-within","millis":1},"weight":2}"""
        expectNotRun(400, null, "weight", send("PUT", "/v1/config/classes/quotes", item))
    }

    /** The timeout is longer than the retries for the owner of the key, so that the reason is the store. */
    @Test
    fun `rejects a request with a key while the store is down`() {
        val headers = mapOf("Idempotency-Key" to "k", "X-Timeout-Ms" to "60000")
        expectNotRun(503, "store-unavailable", null, call("quotes", "", headers))
    }

    /** Guards against a time series for each invented class name, which would exhaust the memory. */
    @Test
    fun `counts unknown classes under one label value`() {
        call("invented-name", "")
        expectThat(entry.metrics()) {
            contains("class=\"(unknown)\"")
            not().contains("invented-name")
        }
    }

    private fun expectNotRun(status: Int, reason: String?, detail: String?, answer: HttpResponse<String>) {
        expectThat(answer.statusCode()) isEqualTo status
        expectThat(answer.headers().firstValue("Content-Type").orElse("")).contains("application/problem+json")
        val problem = Json.parseToJsonElement(answer.body()).jsonObject
        expectThat(problem.text("status")) isEqualTo status.toString()
        expectThat(problem.text("outcome")) isEqualTo "not-run"
        expectThat(problem["reason"]?.jsonPrimitive?.content) isEqualTo reason
        detail?.let { expectThat(problem.text("detail")).contains(it) }
    }

    private fun JsonObject.text(field: String) = getValue(field).jsonPrimitive.content

    private fun call(name: String, body: String, headers: Map<String, String> = emptyMap()) =
        send("POST", "/v1/classes/$name/requests", body, headers)

    private fun send(method: String, path: String, body: String, headers: Map<String, String> = emptyMap()) =
        http.send(
            HttpRequest.newBuilder(URI.create(entry.url + path))
                .method(method, HttpRequest.BodyPublishers.ofString(body))
                .apply { headers.forEach { (k, v) -> header(k, v) } }
                .build(),
            HttpResponse.BodyHandlers.ofString(),
        )
}
