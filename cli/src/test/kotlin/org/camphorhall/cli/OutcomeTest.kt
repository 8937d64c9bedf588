package org.camphorhall.cli

import kotlinx.serialization.json.Json
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import java.net.ServerSocket
import kotlin.concurrent.thread

class OutcomeTest {
    private val request = splitWords("request --class bills --tenant t --key k hello")
    private val submit =
        splitWords("job submit --class nightly --tenant t --cpu 1 --memory 1GiB --expected 1h --payload p --key k")

    private val conflict =
        """{"type":"about:blank","title":"Conflict","status":412,"detail":"the item is at version 9","current":
            {"type":"class","value":{"name":"quotes","target":{"type":"answer-within","millis":900}},"version":9}}"""

    // Scripts use the exit status to decide whether a retry is safe.
    @ParameterizedTest
    @CsvSource(
        "429, not-run, quota-exceeded, 5", "503, not-run, store-unavailable, 5", "404, not-run, unknown-class, 5",
        "504, unknown, connection-lost, 6", "409, unknown, key-outcome-unknown, 6", "502, failed, work-failed, 7",
        "499, cancelled, cancelled, 8", "409, not-run, key-in-progress, 9", "409, , , 9", "412, , , 9", "404, , , 10",
        "500, , , 1", "400, , , 1",
    )
    fun `a rejection exits with the status of its outcome`(status: Int, outcome: String?, reason: String?, exit: Int) {
        val fields = listOfNotNull(outcome?.let { "outcome" to it }, reason?.let { "reason" to it })
        val body = fields.joinToString("") { (k, v) -> ""","$k":"$v"""" }
        FakeEntry { FakeEntry.Response(status, """{"title":"No","status":$status$body}""") }.use { entry ->
            val run = runCli("--entry", entry.url, *request)
            expectThat(run.status) isEqualTo exit
            expectThat(run.out).isEmpty()
            fields.forEach { (k, v) -> expectThat(run.err).contains("$k $v") }
        }
    }

    @Test
    fun `a rejection without problem details reports the HTTP status`() {
        FakeEntry { FakeEntry.Response(500, "<html>broken") }.use { entry ->
            val run = runCli("--entry", entry.url, *request)
            expectThat(run) isEqualTo CliResult(1, "", "refused: <html>broken (status 500)")
        }
    }

    @Test
    fun `a version conflict shows the item in force`() {
        FakeEntry { FakeEntry.Response(412, conflict) }.use { entry ->
            val line = splitWords("class set quotes --answer-within 2s --if-version 8 --entry ${entry.url}")
            val table = runCli(*line)
            expectThat(table.status) isEqualTo CliExitCode.Conflict.status
            expectThat(table.err) isEqualTo """
                conflict: Conflict: the item is at version 9 (status 412)
                current: {"type":"class","value":{"name":"quotes","target":{"type":"answer-within","millis":900}},"version":9}
            """.trimIndent()
            val json = runCli(*line, "--output", "json")
            expectThat(json.status) isEqualTo CliExitCode.Conflict.status
            expectThat(Json.parseToJsonElement(json.out)) isEqualTo Json.parseToJsonElement(conflict)
        }
    }

    // Guards against a client that fails while another entry is reachable.
    @Test
    fun `the next entry is tried when a connection fails`() {
        FakeEntry { FakeEntry.Response(200, "42") }.use { entry ->
            expectThat(runCli("--entry", closedUrl(), "--entry", entry.url, *request).out) isEqualTo "42"
            val variable = mapOf("CAMPHORHALL_ENTRY" to "${closedUrl()},${entry.url}")
            expectThat(runCli(*request, environment = variable).out) isEqualTo "42"
        }
    }

    @Test
    fun `no reachable entry has its own exit status`() {
        val url = closedUrl()
        val run = runCli("--entry", url, *request)
        expectThat(run.status) isEqualTo CliExitCode.Unreachable.status
        expectThat(run.err).contains("no entry reachable\n$url: ")
    }

    // Guards against the outcome "may have run" for a read-only call.
    @Test
    fun `a read without a response exits as unreachable`() = closingServer { url ->
        expectThat(runCli("--entry", url, "worker", "list").status) isEqualTo CliExitCode.Unreachable.status
    }

    // Guards against executing a request twice (P6): the first entry may have dispatched it.
    @Test
    fun `a request is not sent again after its connection broke`() {
        FakeEntry { FakeEntry.Response(200, "42") }.use { entry ->
            closingServer { url ->
                val run = runCli("--entry", url, "--entry", entry.url, *request)
                expectThat(run.status) isEqualTo CliExitCode.Unknown.status
                expectThat(entry.calls).isEmpty()
            }
        }
    }

    @Test
    fun `a submission is retried at the next entry with the same key, and is unknown if that fails too`() {
        FakeEntry { FakeEntry.Response(202, """{"id":"j1"}""") }.use { entry ->
            closingServer { url ->
                expectThat(runCli("--entry", url, "--entry", entry.url, *submit)) isEqualTo CliResult(0, "j1", "")
                expectThat(entry.calls).hasSize(1)
                expectThat(entry.calls.single().headers["Idempotency-Key"]) isEqualTo "k"
                val run = runCli("--entry", url, "--entry", closedUrl(), *submit)
                expectThat(run.status) isEqualTo CliExitCode.Unknown.status
                expectThat(run.err).contains("repeat safely with --key k")
            }
        }
    }

    private fun closedUrl(): String = ServerSocket(0).use { "http://127.0.0.1:${it.localPort}" }

    /** Runs [block] with the URL of a server that reads the start of each request and then closes the connection. */
    private fun closingServer(block: (String) -> Unit) {
        ServerSocket(0).use { server ->
            thread(isDaemon = true) {
                while (!server.isClosed) {
                    runCatching { server.accept().use { it.getInputStream().read(ByteArray(4096)) } }
                }
            }
            block("http://127.0.0.1:${server.localPort}")
        }
    }
}
