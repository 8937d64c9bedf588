package org.camphorhall.e2e

import org.junit.jupiter.api.io.TempDir
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isTrue
import java.nio.file.Path

/** Cancelled jobs whose first stops have no effect before the owner of their shard ends. */
internal class CancelledJobTest {
    @TempDir
    lateinit var dir: Path

    /** How the process of the owner ends after it has stored that the job is cancelled. */
    enum class OwnerEnd(val end: SchedulerDeployment.(owner: LaunchedProcess) -> Unit) {
        // The store lease of a killed owner ends at once, since the leases of the workers may end before it otherwise.
        Killed({
            it.kill()
            setStoreFaults("""{"lapseLeases":true}""")
        }),
        Terminated({
            it.terminate()
            it.awaitExitStatus()
        }),
    }

    /** Guards against tasks that run on because the owner that stopped them ended before they did. */
    @ParameterizedTest
    @EnumSource(OwnerEnd::class)
    fun `the next owner stops the tasks of a cancelled job`(ownerEnd: OwnerEnd) {
        SchedulerDeployment(dir, workers = 3, entries = 1).use { d ->
            val entry = d.entries.single()
            awaitCondition("the entry accepts a job") { d.submitLongRunning(entry, JOB) == HTTP_OK }
            awaitCondition("all tasks run") { d.runs().runs.count { it.end == null } == WORKERS }
            expectThat(d.setWorkerFaults("""{"dropStops":true}""")).isTrue()
            expectThat(d.cancel(entry, JOB)).isEqualTo(HTTP_OK)
            awaitCondition("the owner has stored the end of the job") { d.storedPhase(JOB) == "Cancelled" }
            val owner = checkNotNull(d.ownerIndex()) { "the shard has no owner" }
            ownerEnd.end(d, d.agents[owner])
            // No agent repeats a stop of the ended owner any more.
            Thread.sleep(STOP_TRIES_MILLIS)
            expectThat(d.setWorkerFaults("{}")).isTrue()
            val stopsWorkAt = nowMillis()
            awaitCondition("all tasks end") { d.runs().runs.none { it.end == null } }
            // The lease of the worker whose agent has ended lapses.
            val runs = d.runs().runs.filter { it.worker != "worker-$owner" }
            println("$ownerEnd owner: ${runs.map { "${it.end} after ${checkNotNull(it.endedAt) - stopsWorkAt} ms" }}")
            expectThat(runs).hasSize(WORKERS - 1).all {
                get { end }.isEqualTo("stopped")
                get { checkNotNull(endedAt) - stopsWorkAt }.isLessThanOrEqualTo(RECOVERY_MILLIS)
            }
            expectThat(d.runs().violations).isEmpty()
        }
    }

    private companion object {
        const val HTTP_OK = SchedulerDeployment.HTTP_OK
        const val JOB = "00000000000000c0"
        const val WORKERS = 3

        /** Longer than the tries of an agent for one stop command: three calls of 0.8 s and the delays between them. */
        const val STOP_TRIES_MILLIS = 4_000L

        /** Bound of the platform for the recovery from a fault: a take-over, new connections and a stop take less. */
        const val RECOVERY_MILLIS = 12_000L
    }
}
