package org.camphorhall.e2e

import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isLessThan
import java.nio.file.Path
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.seconds
import kotlin.time.measureTime

/** Shutdown of the scheduler's programs by SIGTERM, and standard output that nobody reads. */
internal class StopTest {
    @TempDir
    lateinit var dir: Path

    private class StopCase(
        val areLogsRead: Boolean = true,
        val faults: String = "{}",
        val prepare: (SchedulerDeployment) -> Unit,
    )

    private val cases = mapOf(
        "immediately after their start" to StopCase { },
        "while they serve" to StopCase { it.awaitAcceptedJob() },
        "while the store does not respond" to StopCase(faults = """{"silent":true}""") { it.awaitAcceptedJob() },
        "during a store outage" to StopCase(faults = """{"outage":true}""") { it.awaitAcceptedJob() },
        "while nobody reads their logs" to StopCase(areLogsRead = false) {
            it.awaitAcceptedJob()
            it.fillOutputPipes()
        },
    )

    /** Guards against processes that are still running when the platform's grace time ends. */
    @Test
    fun `every program exits within the grace time after SIGTERM`() {
        for ((name, case) in cases) {
            val directory = dir.resolve(name.replace(' ', '-')).also { it.toFile().mkdirs() }
            SchedulerDeployment(directory, workers = 2, entries = 1, case.areLogsRead).use { d ->
                case.prepare(d)
                d.setStoreFaults(case.faults)
                val processes = d.agents + d.entries.map { it.process }
                val took = measureTime {
                    processes.forEach { it.terminate() }
                    val running = processes.filterNot { it.exitsWithin(GRACE_TIME.inWholeSeconds, TimeUnit.SECONDS) }
                    expectThat(running.map { it.name }).describedAs("still running, stopped $name").isEmpty()
                }
                println("stopped $name: $took")
            }
        }
    }

    /** Guards against requests that block on a full standard output pipe. */
    @Test
    fun `a blocked standard output delays no request`() {
        SchedulerDeployment(dir, workers = 1, entries = 1, areLogsRead = false).use { d ->
            d.awaitAcceptedJob()
            d.fillOutputPipes()
            val slowest = (1..100).maxOf { n -> measureTime { d.submit(d.entries[0], "%016x".format(n), 10) } }
            expectThat(slowest).isLessThan(RESPONSE_TIMEOUT)
        }
    }

    private fun SchedulerDeployment.awaitAcceptedJob() =
        awaitCondition("the entry accepts a job") { submit(entries[0], FIRST, 100) == SchedulerDeployment.HTTP_OK }

    /** Causes more log output than a pipe buffers: at least 200 bytes per request, where the pipe has 64 KiB. */
    private fun SchedulerDeployment.fillOutputPipes() = repeat(600) { submit(entries[0], "not-an-id", 10) }

    private companion object {
        const val FIRST = "00000000000000f0"

        /** The platform's time between SIGTERM and SIGKILL. */
        val GRACE_TIME = 6.seconds

        /** How long callers wait for a response. */
        val RESPONSE_TIMEOUT = 3.seconds
    }
}
