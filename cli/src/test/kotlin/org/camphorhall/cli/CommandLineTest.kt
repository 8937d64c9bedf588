package org.camphorhall.cli

import kotlinx.serialization.json.Json
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull

class CommandLineTest {
    private val submit = "job submit --class nightly --tenant t --cpu 0.5 --memory 1GiB --expected 1h --payload p"

    // Guards against invalid input that reaches the entry, or that is rejected without its cause.
    @ParameterizedTest
    @CsvSource(
        delimiter = '|',
        value = [
            "class set quotes|no target given; use --answer-within or --finish-by",
            "class set quotes --answer-within 2s --finish-by 8h|two targets given; use either",
            "class set quotes --answer-within 2|invalid duration \"2\"; valid: a number above 0 with unit",
            "class set quotes --answer-within 2s --if-version -1|-1 is smaller than the minimum",
            "quota set t --cpu 4 --memory 8GB --requests 5|unknown unit in size \"8GB\"; valid: a number with unit MiB",
            "quota set t --cpu x --memory 8GiB --requests 5|invalid number of cores \"x\"",
            "quota set t --cpu 4 --memory 8GiB --requests -5|-5 is smaller than the minimum",
            "quota set t --cpu 4 --memory 8GiB|missing option --requests",
            "job submit --class nightly|missing option --tenant",
            "request --class quotes --tenant t --timeout soon hello|invalid duration \"soon\"",
            "worker list --output xml|invalid choice: xml",
            "worker|Usage: camphorhall worker",
        ],
    )
    fun `invalid input is rejected before any call`(line: String, cause: String) {
        FakeEntry { FakeEntry.Response(200, "{}") }.use { entry ->
            val run = runCli("--entry", entry.url, *splitWords(line))
            expectThat(run.status) isEqualTo CliExitCode.Usage.status
            expectThat(run.err + run.out).contains(cause)
            expectThat(entry.calls).isEmpty()
        }
    }

    @ParameterizedTest
    @CsvSource("''", "host:8080", "http://", "http://h/path")
    fun `an entry address is required and must be a URL`(url: String) {
        val environment = if (url.isEmpty()) emptyMap() else mapOf(ENTRY_VARIABLE to url)
        val run = runCli("worker", "list", environment = environment)
        expectThat(run.status) isEqualTo CliExitCode.Usage.status
        expectThat(run.err).contains(if (url.isEmpty()) "no entry given" else "invalid entry \"$url\"")
    }

    @ParameterizedTest
    @CsvSource(
        delimiter = '|',
        value = [
            "class set quotes --answer-within 2s|PUT /v1/config/classes/quotes|" +
                """{"name":"quotes","target":{"type":"answer-within","millis":2000},"idempotent":true}""",
            "class set bills --finish-by 8h --non-idempotent|PUT /v1/config/classes/bills|" +
                """{"name":"bills","target":{"type":"finish-by","millis":28800000},"idempotent":false}""",
            "quota set t --cpu 4 --memory 8GiB --accelerators 0 --requests 50|PUT /v1/config/quotas/t|" +
                """{"tenant":"t","batch":{"cpuMillis":4000,"memoryMib":8192,"accelerators":0},"requestsInFlight":50}""",
            "class remove a/b|DELETE /v1/config/classes/a%2Fb|",
        ],
    )
    fun `a change sends the documented call`(line: String, call: String, body: String?) {
        FakeEntry { FakeEntry.Response(200, """{"version":7}""") }.use { entry ->
            val run = runCli(*splitWords(line), "--entry", entry.url, "--if-version", "6")
            expectThat(run) isEqualTo CliResult(0, "in force from version 7", "")
            expectThat(entry.calls.single()) {
                get { requestLine } isEqualTo call
                get { this.body } isEqualTo body.orEmpty()
                get { headers["If-Match"] } isEqualTo "6"
            }
        }
    }

    @Test
    fun `a submission sends the documented body and an idempotency key`() {
        FakeEntry { FakeEntry.Response(202, """{"id":"j1"}""") }.use { entry ->
            expectThat(runCli("--entry", entry.url, *splitWords(submit))) isEqualTo CliResult(0, "j1", "")
            val call = entry.calls.single()
            val resources = """{"cpuMillis":500,"memoryMib":1024,"accelerators":0}"""
            expectThat(Json.parseToJsonElement(call.body)) isEqualTo Json.parseToJsonElement(
                """{"class":"nightly","tenant":"t","resources":$resources,"expectedMillis":3600000,"payload":"p",
                    "tasks":1}""",
            )
            expectThat(call.headers["Idempotency-Key"]).isNotNull()
        }
    }

    @Test
    fun `a request prints only the response body`() {
        FakeEntry { FakeEntry.Response(200, "42 [bold]\u001b[0m\n") }.use { entry ->
            val line = splitWords("request --class quotes --tenant t --key k --timeout 2s hello")
            expectThat(runCli("--entry", entry.url, *line)) isEqualTo CliResult(0, "42 [bold]\u001b[0m", "")
            expectThat(entry.calls.single()) {
                get { requestLine } isEqualTo "POST /v1/classes/quotes/requests"
                get { body } isEqualTo "hello"
                get { listOf("X-Tenant", "Idempotency-Key", "X-Timeout-Ms").map(headers::get) }
                    .isEqualTo(listOf("t", "k", "2000"))
            }
        }
    }

    private companion object {
        const val ENTRY_VARIABLE = "CAMPHORHALL_ENTRY"
    }
}
