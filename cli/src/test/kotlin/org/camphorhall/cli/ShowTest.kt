package org.camphorhall.cli

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import java.nio.file.Path
import java.util.concurrent.atomic.AtomicInteger
import kotlin.io.path.writeText

class ShowTest {
    private val config = """{"version":9,"items":[
        {"type":"quota","value":{"tenant":"t","batch":{"cpuMillis":4500,"memoryMib":8192},"requestsInFlight":50},
            "version":3},
        {"type":"class","value":{"name":"quotes","target":{"type":"answer-within","millis":2000}},"version":9},
        {"type":"class","value":{"name":"nightly","target":{"type":"finish-by","millis":28800000},"idempotent":false},
            "version":2},
        {"type":"removed","key":"class/old","version":4}]}"""

    private fun job(state: String, task: String) = """{"id":"j1","class":"nightly","tenant":"t","state":"$state",
        "reason":null,"tasks":[{"index":0,"state":"$task","attempt":2,"worker":"w7","progressMillis":1500,
        "evictions":1,"result":null,"reason":null}],"submittedMillis":1,"finishByMillis":2}"""

    private val responses = mapOf(
        "GET /v1/config" to config,
        "GET /v1/jobs" to """{"jobs":[${job("running", "running")}]}""",
        "GET /v1/jobs/j1" to job("done", "done"),
        "GET /v1/workers" to """[{"id":"w7","failureDomain":"d1","rack":"r1","draining":false,"ageMillis":400,
            "capacity":{"cpuMillis":64000,"memoryMib":256000},"used":{"cpuMillis":500},
            "classes":[{"name":"quotes","slots":8,"running":3,"queued":1}]}]""",
        "POST /v1/workers/w7/drain" to "",
        "DELETE /v1/jobs/j1" to "",
        "GET /v1/report" to """{"classes":[{"class":"quotes","counts":[
            {"outcome":"completed","reason":null,"count":12},{"outcome":"not-run","reason":"queue-full","count":3}]},
            {"class":"nightly","counts":[{"outcome":"completed","reason":null,"count":1}]}],
            "unknown":[{"source":"entry e2","sinceMillis":0,"detail":"counts since its last flush"}]}""",
    )

    private fun <T> withEntry(block: (String) -> T): T = FakeEntry { c ->
        responses[c.requestLine]?.let { FakeEntry.Response(200, it) }
            ?: FakeEntry.Response(404, """{"title":"No ${c.requestLine}"}""")
    }.use { block(it.url) }

    @ParameterizedTest
    @CsvSource(
        delimiter = '|',
        value = [
            "class list|CLASS TARGET IDEMPOTENT VERSION / nightly finish by 8h false 2 / " +
                "quotes answer within 2s true 9",
            "class show quotes|CLASS TARGET IDEMPOTENT VERSION / quotes answer within 2s true 9",
            "quota list|TENANT BATCH REQUESTS VERSION / t 4.5 cores, 8192 MiB, 0 accelerators 50 3",
            "job list|JOB CLASS TENANT STATE REASON DONE / j1 nightly t running - 0/1",
            "job show j1|job j1 done: 1 done; progress 1.5s, 1 evictions; class nightly, tenant t / " +
                "TASK STATE ATTEMPT WORKER PROGRESS EVICTIONS REASON RESULT / 0 done 2 w7 1.5s 1 - -",
            "worker list|WORKER DOMAIN RACK DRAINING AGE USED CAPACITY CLASSES / w7 d1 r1 false 400ms " +
                "0.5 cores, 0 MiB, 0 accelerators 64 cores, 256000 MiB, 0 accelerators quotes 3/8+1",
            "worker drain w7|drain of w7 requested",
            "job cancel j1|cancellation of j1 recorded",
            "report --class quotes|CLASS OUTCOME REASON COUNT / quotes completed - 12 / " +
                "quotes not-run queue-full 3 / not known: / SOURCE SINCE DETAIL / " +
                "entry e2 1970-01-01T00:00:00Z counts since its last flush",
        ],
    )
    fun `a table has one line per row and no truncated column`(line: String, expected: String) {
        val run = withEntry { runCli("--entry", it, *splitWords(line)) }
        expectThat(run.status) isEqualTo 0
        expectThat(normalizeSpaces(run.out)) isEqualTo normalizeSpaces(expected.replace(" / ", "\n"))
    }

    private fun normalizeSpaces(text: String) = text.lines().map { it.trim().replace(Regex(" +"), " ") }

    @ParameterizedTest
    @CsvSource(
        "class list", "class show quotes", "quota list", "quota show t", "config show", "job list", "job show j1",
        "job watch j1", "job cancel j1", "worker list", "worker drain w7", "report",
    )
    fun `with JSON output a command prints only JSON`(line: String) {
        val run = withEntry { runCli("--entry", it, "--output", "json", *splitWords(line)) }
        expectThat(run.status) isEqualTo 0
        Json.parseToJsonElement(run.out)
    }

    @ParameterizedTest
    @CsvSource("class show none", "class show old", "quota show none", "job show none", "job watch none")
    fun `a missing item exits with its own status`(line: String) {
        expectThat(withEntry { runCli("--entry", it, *splitWords(line)) }.status) isEqualTo CliExitCode.NotFound.status
    }

    @Test
    fun `config diff accepts the output of config show and finds every kind of difference`(@TempDir dir: Path) {
        withEntry { url ->
            val file = dir.resolve("items.json")
            file.writeText(runCli("--entry", url, "--output", "json", "config", "show").out)
            expectThat(runCli("--entry", url, "config", "diff", "$file")) isEqualTo CliResult(0, "no differences", "")

            file.writeText(
                """{"items":[ // versions are optional
                {"type":"class","value":{"name":"quotes","target":{"type":"answer-within","millis":900}}},
                {"type":"quota","value":{"tenant":"t","batch":{"cpuMillis":4500,"memoryMib":8192},
                    "requestsInFlight":50}},
                {"type":"class","value":{"name":"new","target":{"type":"finish-by","millis":1000}}}]}""",
            )
            val run = runCli("--entry", url, "config", "diff", "$file")
            expectThat(run.status) isEqualTo CliExitCode.Different.status
            expectThat(normalizeSpaces(run.out)) isEqualTo listOf(
                "ITEM IN FORCE FILE",
                "class/new - finish by 1s",
                "class/nightly finish by 8h, non-idempotent -",
                "class/quotes answer within 2s answer within 900ms",
            )
            val json = runCli("--entry", url, "--output", "json", "config", "diff", "$file").out
            expectThat(Json.parseToJsonElement(json).jsonArray).hasSize(3)
        }
    }

    @Test
    fun `config diff lists all errors of a file`(@TempDir dir: Path) {
        val file = dir.resolve("items.json")
        file.writeText(
            """{"items":[{"type":"class","value":{"name":1,"target":{"type":"soon"}}},{"type":"quota","valu":{}}]}""",
        )
        val run = withEntry { runCli("--entry", it, "config", "diff", "$file") }
        expectThat(run.status) isEqualTo CliExitCode.InvalidFile.status
        expectThat(run.err).contains("items[0].value.name: found 1").contains("items[0].value.target.type: found soon")
            .contains("items[1].valu: found unknown field").contains("items[1].value: found missing field")
    }

    // Guards against a watch that ends when an entry restarts, or that does not report the outcome of the job.
    @ParameterizedTest
    @CsvSource("done, 0", "failed, 7", "cancelled, 8")
    fun `a watch tolerates failed polls and ends with the job`(state: String, exit: Int) {
        val polls = AtomicInteger()
        val entry = FakeEntry {
            when (polls.getAndIncrement()) {
                0 -> FakeEntry.Response(200, job("running", "running"))
                1 -> FakeEntry.Response(503, """{"title":"starting"}""")
                else -> FakeEntry.Response(200, job(state, state))
            }
        }
        val run = entry.use { runCli("--entry", it.url, "job", "watch", "j1") }
        expectThat(run.status) isEqualTo exit
        expectThat(run.out.lines().take(2)) isEqualTo listOf(
            "job j1 running: 1 running; progress 1.5s, 1 evictions",
            "job j1 $state: 1 $state; progress 1.5s, 1 evictions",
        )
    }

    // Guards against a watch that prints one line per poll on a terminal, or writes cursor movements to a pipe.
    @Test
    fun `a watch on a terminal rewrites one line`() {
        val polls = AtomicInteger()
        val entry = FakeEntry {
            val state = if (polls.getAndIncrement() < 1) "running" else "done"
            FakeEntry.Response(200, job(state, state))
        }
        val run = entry.use { runCli("--entry", it.url, "job", "watch", "j1", interactive = true) }
        expectThat(run.status) isEqualTo 0
        expectThat(run.out).contains("job j1 running").contains("\u001b[").contains("job j1 done")
        expectThat(run.out.substringBefore("job j1 done").contains('\n')).isFalse()
    }
}
