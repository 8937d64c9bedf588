package org.camphorhall.e2e

import org.junit.jupiter.api.Tag
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue
import java.nio.file.Path
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds

/**
 * Random faults against the scheduler's programs. Checks the responses to callers against the runs on workers: no task
 * runs twice at a time or after its end, no task of a rejected job runs, and every accepted job completes once the
 * faults have ended. No task of a cancelled job starts long after the acknowledgement or runs on once the faults have
 * ended.
 */
class SchedulerSoakTest {
    @TempDir
    lateinit var dir: Path

    @Test
    fun `invariants hold under random faults, seed 1`() = soak(seed = 1, rounds = 6, CANCELLED_JOBS)

    /**
     * To run N random seeds: -Dexcluded.groups=none -Dsoak.seeds=N. Each failure reports its seed, which
     * -Dsoak.seed=SEED runs again.
     */
    @Test
    @Tag("slow")
    fun `invariants hold under random faults, random seeds`() {
        val first = Integer.getInteger("soak.seed")
        repeat(Integer.getInteger("soak.seeds", 5)) { n ->
            val seed = first?.let { it + n } ?: Random.nextInt(1_000_000)
            soak(seed, Integer.getInteger("soak.rounds", 12), Integer.getInteger("soak.jobs", 3 * CANCELLED_JOBS))
        }
    }

    private fun soak(seed: Int, rounds: Int, cancelledJobs: Int) {
        println("soak seed $seed")
        val random = Random(seed)
        val directory = dir.resolve("$seed").also { it.toFile().mkdirs() }
        SchedulerDeployment(directory, workers = 3, entries = 2, hasStoreRelays = true).use { d ->
            awaitCondition("an entry accepts a job") {
                d.submit(d.entries[0], jobId(0, 0), SHORT_RUN_MILLIS) == SchedulerDeployment.HTTP_OK
            }
            val statuses = linkedMapOf(jobId(0, 0) to setOf<Int?>(SchedulerDeployment.HTTP_OK))
            val cancelled = CancelledJobs(d, Random(seed + 1))
            for (round in 1..rounds) {
                val endFault = injectFault(d, random)
                for (n in 0 until JOBS_PER_ROUND) {
                    val id = jobId(round, n)
                    val first = d.submit(d.entries[n % 2], id, random.nextInt(SHORT_RUN_MILLIS, LONG_RUN_MILLIS))
                    val isOutcomeUnknown = first == null || first == GATEWAY_TIMEOUT
                    val second = if (isOutcomeUnknown) d.submit(d.entries[(n + 1) % 2], id, SHORT_RUN_MILLIS) else first
                    statuses[id] = setOf(first, second)
                }
                cancelled.step()
                Thread.sleep(random.nextLong(MAX_PAUSE_MILLIS))
                endFault()
            }
            d.setStoreFaults(LATE_WRITES)
            repeat(JOBS_WITH_LATE_WRITES) { cancelled.step() }
            d.setStoreFaults("{}")
            ProcessEnds(d, seed).use {
                repeat(cancelledJobs) {
                    cancelled.step()
                    Thread.sleep(random.nextLong(MAX_CANCEL_PAUSE_MILLIS))
                }
            }
            cancelled.cancelAll()
            val violations = cancelled.awaitViolations(calmAt = nowMillis())
            expectThat(violations.joinToString("; ", "seed $seed: ")).isEqualTo("seed $seed: ")
            val accepted = statuses.filterValues { SchedulerDeployment.HTTP_OK in it }.keys
            awaitCondition("the accepted jobs of seed $seed complete", COMPLETION_TIMEOUT) {
                accepted.all { d.jobState(d.entries[0], it) == "completed" }
            }
            val rejected = statuses.filterValues { all -> all.all { it == UNAVAILABLE } }.keys
            val runs = d.runs()
            expectThat(runs.violations.joinToString("; ", "seed $seed: ")).isEqualTo("seed $seed: ")
            expectThat(runs.started.filter { it.substringBefore('.') in rejected }).describedAs("seed $seed").isEmpty()
            expectThat(accepted.all { job -> runs.done.count { it.startsWith(job) } == TASKS_PER_JOB })
                .describedAs("every task of the accepted jobs of seed $seed completed").isTrue()
        }
    }

    /** Injects a random fault and returns the function that ends it. */
    private fun injectFault(d: SchedulerDeployment, random: Random): () -> Unit {
        val agent = d.agents.random(random)
        val entry = d.entries.random(random).process
        val storeFault = listOf(
            """{"outage":true}""",
            """{"silent":true}""",
            """{"dropAnswers":true}""",
            """{"delayMillis":300}""",
            """{"lapseLeases":true}""",
            LATE_WRITES,
        ).random(random)
        return when (random.nextInt(FAULT_CHOICES)) {
            0 -> stopFault(agent) { kill() }
            1 -> stopFault(agent) { terminateAndWait() }
            2 -> stopFault(entry) { kill() }
            3 -> pauseFault(agent)
            4 -> killAllFault(d.agents)
            5 -> relayFault((d.storeRelays + d.agentRelays).random(random), random)
            6 -> restartFault(d, random)
            7 -> cutOffRestartFault(d, random)
            else -> storeFault(d, storeFault)
        }
    }

    private fun LaunchedProcess.terminateAndWait() {
        terminate()
        awaitExitStatus()
    }

    private fun pauseFault(p: LaunchedProcess): () -> Unit {
        p.pause()
        return { p.resume() }
    }

    private fun restartFault(d: SchedulerDeployment, random: Random): () -> Unit {
        d.restartWorker(random.nextInt(d.agents.size))
        return { }
    }

    /** Restarts a worker, and often its agent, while the agent has no connection to the store. */
    private fun cutOffRestartFault(d: SchedulerDeployment, random: Random): () -> Unit {
        val index = random.nextInt(d.agents.size)
        val endRelayFault = relayFault(d.agentRelays[index], random)
        d.restartWorker(index)
        val endAgentFault = if (random.nextBoolean()) stopFault(d.agents[index]) { kill() } else ({ })
        return {
            endAgentFault()
            endRelayFault()
        }
    }

    private fun killAllFault(all: List<LaunchedProcess>): () -> Unit {
        all.forEach { it.kill() }
        return { all.forEach { it.restart() } }
    }

    private fun storeFault(d: SchedulerDeployment, faults: String): () -> Unit {
        d.setStoreFaults(faults)
        return { d.setStoreFaults("{}") }
    }

    /** Partitions one process from the key-value service, or stalls or closes its connections to it. */
    private fun relayFault(relay: RelayInstance, random: Random): () -> Unit {
        relay.setFaults(listOf("""{"partition":true}""", """{"silent":true}""", """{"cut":true}""").random(random))
        return { relay.setFaults("{}") }
    }

    private fun stopFault(p: LaunchedProcess, stop: LaunchedProcess.() -> Unit): () -> Unit {
        p.stop()
        return { p.restart() }
    }

    private fun jobId(round: Int, n: Int) = "%016x".format(round * 1_000 + n + 1)

    private companion object {
        const val JOBS_PER_ROUND = 4

        /** Writes that are lost and carried out when their callers have given up and cancelled the job elsewhere. */
        const val LATE_WRITES = """{"latePercent":60,"lateMillis":5000}"""
        const val JOBS_WITH_LATE_WRITES = 8

        /** Jobs that are cancelled while processes end in series. */
        const val CANCELLED_JOBS = 30
        const val TASKS_PER_JOB = 4

        /** Equally likely choices of a fault; the last three are faults of the key-value service. */
        const val FAULT_CHOICES = 11

        const val SHORT_RUN_MILLIS = 100
        const val LONG_RUN_MILLIS = 1_500
        const val GATEWAY_TIMEOUT = 504
        const val UNAVAILABLE = 503
        const val MAX_PAUSE_MILLIS = 4_000L
        const val MAX_CANCEL_PAUSE_MILLIS = 1_600L
        val COMPLETION_TIMEOUT = 60.seconds
    }
}
