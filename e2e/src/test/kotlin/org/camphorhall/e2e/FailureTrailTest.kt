package org.camphorhall.e2e

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.jsonObject
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEmpty
import strikt.assertions.isNotNull
import java.nio.file.Files
import java.nio.file.Path

/** The procedures of docs/OPERATIONS.md that lead from the id of a failed or late request to its cause in the logs. */
internal class FailureTrailTest {
    @TempDir
    lateinit var dir: Path

    private class Line(val process: String, val fields: JsonObject) {
        val message = text("message")

        fun text(field: String): String? = (fields[field] as? JsonPrimitive)?.content
    }

    /** Guards against a rejected request whose cause is missing from the log. */
    @Test
    fun `the log links a rejected request to the store outage`() = withDeployment { d ->
        d.setStoreFaults("""{"outage":true}""")
        expectThat(d.submit(d.entries[0], REQUEST, runMillis = 100)).isEqualTo(503)
        d.setStoreFaults("{}")
        val answer = awaitLine { it.message == "request answered" && it.text("job") == REQUEST }
        expectThat(answer.text("answer")).isNotNull().contains("Refused")
        val cause = lines().filter { it.process == answer.process }
            .filter { it.message == "record not written" || it.message == "configuration not read" }
        expectThat(cause.mapNotNull { it.text("reason") }).isNotEmpty()
    }

    /** Guards against a late job whose log does not name the worker whose attempt was lost. */
    @Test
    fun `the log links a late job to the worker of its lost attempt`() = withDeployment { d ->
        expectThat(d.submit(d.entries[0], REQUEST, runMillis = 6_000)).isEqualTo(SchedulerDeployment.HTTP_OK)
        awaitCondition("the job runs") { d.runs().started.any { it.startsWith(REQUEST) } }
        d.agents.forEach { it.kill() }
        // Longer than the lease of a worker (3 s), so that its attempts end before they complete.
        Thread.sleep(5_000)
        d.agents.forEach { it.restart() }
        awaitCondition("the job completes") { d.jobState(d.entries[0], REQUEST) == "completed" }
        val trail = lines().filter { it.text("job") == REQUEST }
        val lost = trail.filter { it.message == "attempt lost" || it.text("detail") == "LeaseExpired" }
        expectThat(lost.mapNotNull { it.text("worker") }).isNotEmpty()
        expectThat(trail.last { it.message == "job ended" }.text("detail")).isEqualTo("Completed")
    }

    /** Guards against a delay that the log does not explain: no task starts until a shard has a new owner. */
    @Test
    fun `the log links a delayed job to the change of its shard owner`() = withDeployment { d ->
        val first = awaitLine { it.message == "shard acquired" }
        expectThat(d.submit(d.entries[0], REQUEST, runMillis = 500)).isEqualTo(SchedulerDeployment.HTTP_OK)
        d.agents.single { it.name == first.process }.kill()
        awaitCondition("the job completes") { d.jobState(d.entries[0], REQUEST) == "completed" }
        val next = lines().filter { it.message == "shard acquired" && it.process != first.process }
        expectThat(next.mapNotNull { it.text("epoch") }).isNotEmpty()
        expectThat(next.all { it.epoch() > first.epoch() }).isEqualTo(true)
    }

    /** Guards against a cancelled job whose log does not show which of its tasks were stopped, and by which owner. */
    @Test
    fun `the log links a cancelled job to each stop`() = withDeployment { d ->
        expectThat(d.submit(d.entries[0], REQUEST, runMillis = 30_000)).isEqualTo(SchedulerDeployment.HTTP_OK)
        awaitCondition("three tasks run") { d.runs().started.count { it.startsWith(REQUEST) } == TASKS }
        expectThat(d.cancel(d.entries[0], REQUEST)).isEqualTo(SchedulerDeployment.HTTP_OK)
        val tasks = (0 until TASKS).map { "$REQUEST.0.0.$it" }.toSet()
        awaitCondition("all tasks have ended") { tasksOf("attempt ended").containsAll(tasks) }
        val answer = lines().single { it.message == "request answered" && it.text("call") == "Cancel" }
        expectThat(answer.text("job")).isEqualTo(REQUEST)
        for (message in listOf("stop sent", "stop completed")) {
            expectThat(tasksOf(message)).describedAs(message).isEqualTo(tasks)
            val stops = lines().filter { it.message == message }
            expectThat(stops.all { it.epoch() > 0 && it.text("worker") != null }).describedAs(message).isEqualTo(true)
        }
    }

    private fun tasksOf(message: String): Set<String> = lines().filter { it.message == message }
        .mapNotNull { it.text("task") }.filter { it.startsWith(REQUEST) }.toSet()

    private fun Line.epoch(): Long = text("epoch")?.toLong() ?: 0

    private fun withDeployment(test: (SchedulerDeployment) -> Unit) {
        SchedulerDeployment(dir, workers = 3, entries = 1).use { d ->
            awaitCondition("the entry accepts a job") {
                d.submit(d.entries[0], FIRST, 100) == SchedulerDeployment.HTTP_OK
            }
            test(d)
        }
    }

    private fun awaitLine(matches: (Line) -> Boolean): Line = awaitValue("the line is logged") {
        lines().firstOrNull(matches)
    }

    /** All complete log lines, grouped by process. */
    private fun lines(): List<Line> = Files.list(dir).use { files -> files.filter { "$it".endsWith(".log") }.toList() }
        .flatMap { log ->
            // The last line may be incomplete.
            Files.readString(log).substringBeforeLast('\n').lineSequence().filter { it.startsWith("{") }
                .mapNotNull { runCatching { Json.parseToJsonElement(it).jsonObject }.getOrNull() }
                .map { Line(log.fileName.toString().removeSuffix(".log"), it) }
        }

    private companion object {
        const val FIRST = "00000000000000f0"
        const val REQUEST = "00000000000000f1"

        /** Tasks of the first step of a job. */
        const val TASKS = 3
    }
}
