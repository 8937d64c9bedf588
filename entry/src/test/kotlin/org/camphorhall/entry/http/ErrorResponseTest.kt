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

/** Guards against wrong calls that are run, or refused without the outcome and cause that callers act on. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class ErrorResponseTest {
    private val entry = TestEntry()
    private val http = HttpClient.newHttpClient()

    @AfterAll
    fun stop() = entry.close()

    @Test
    fun `refuses a body that is too long`() =
        expectNotRun(413, null, "longer than 1000 bytes", call("lookups", "x".repeat(1_001)))

    @Test
    fun `refuses headers that are too long`() {
        val headers = (1..4).associate { "X-Filler-$it" to "x".repeat(4_200) }
        expectNotRun(400, null, "headers are longer", call("lookups", "", headers))
    }

    @Test
    fun `refuses a request without the key that its class needs`() =
        expectNotRun(400, null, "Idempotency-Key is required", call("quotes", ""))

    @Test
    fun `refuses an unknown class`() = expectNotRun(404, "unknown-class", null, call("none", ""))

    @Test
    fun `refuses a request of a class for jobs`() =
        expectNotRun(400, null, "submit a job instead", call("plans", ""))

    @Test
    fun `refuses a bad time limit`() {
        for (text in listOf("soon", "0", "-1", "300001", "99999999999999999999")) {
            expectNotRun(400, null, "X-Timeout-Ms", call("lookups", "", mapOf("X-Timeout-Ms" to text)))
        }
    }

    @Test
    fun `refuses an unknown field`() {
        val job = """{"class":"plans","resources":{"cpuMillis":1},"pin":"worker-1"}"""
        expectNotRun(400, null, "pin", send("POST", "/v1/jobs", job))
        val item = """{"name":"quotes","target":{"type":"answer-within","millis":1},"weight":2}"""
        expectNotRun(400, null, "weight", send("PUT", "/v1/config/classes/quotes", item))
    }

    /** The deadline is longer than the search for the owner of the key, so that the answer names the store. */
    @Test
    fun `refuses a request with a key while the store is down`() {
        val headers = mapOf("Idempotency-Key" to "k", "X-Timeout-Ms" to "60000")
        expectNotRun(503, "store-unavailable", null, call("quotes", "", headers))
    }

    /** Guards against a metric for each name that a caller invents, which would fill the memory. */
    @Test
    fun `counts unknown classes under one label`() {
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
