package org.camphorhall.e2e

import kotlin.concurrent.thread
import kotlin.random.Random

/**
 * Overlapping series of ends: of the owner, of random agents and of random workers, while stops are late or lost at the
 * workers. [close] ends the series and all faults, after which all processes run.
 */
internal class ProcessEnds(private val d: SchedulerDeployment, seed: Int) : AutoCloseable {
    @Volatile
    private var isClosed = false

    @Volatile
    private var failure: Throwable? = null

    private val series = listOf<(Random) -> Unit>(
        { random -> endOwner(random) },
        { random -> endAgent(d.agents.random(random), random) },
        { random -> restartWorker(random) },
        { random -> changeStopFaults(random) },
    ).mapIndexed { i, step ->
        val random = Random(seed + i)
        thread(start = false) { while (!isClosed) step(random) }.also {
            it.setUncaughtExceptionHandler { _, e -> failure = e }
            it.start()
        }
    }

    override fun close() {
        isClosed = true
        series.forEach { it.join() }
        // The worker that was restarted last may listen only now.
        awaitCondition("all workers have no faults") { d.setWorkerFaults("{}") }
        failure?.let { throw IllegalStateException("a series of ends failed", it) }
    }

    private fun endOwner(random: Random) {
        pause(random, OWNER_PERIOD_MILLIS)
        d.ownerIndex()?.let { endAgent(d.agents[it], random) }
    }

    private fun endAgent(agent: LaunchedProcess, random: Random) {
        val (isKilled, downMillis) = random.nextBoolean() to random.nextLong(MAX_DOWN_MILLIS)
        synchronized(agent) {
            if (isKilled) {
                agent.kill()
            } else {
                agent.terminate()
                agent.awaitExitStatus()
            }
            Thread.sleep(downMillis)
            agent.restart()
        }
        pause(random, AGENT_PERIOD_MILLIS)
    }

    private fun restartWorker(random: Random) {
        pause(random, WORKER_PERIOD_MILLIS)
        if (!isClosed) d.restartWorker(random.nextInt(d.agents.size))
    }

    private fun changeStopFaults(random: Random) {
        d.setWorkerFaults(stopFaults.random(random))
        pause(random, STOP_FAULT_PERIOD_MILLIS)
    }

    /** Waits between a half and the whole of [maxMillis], or until the series end. */
    private fun pause(random: Random, maxMillis: Long) {
        val until = nowMillis() + random.nextLong(maxMillis / 2, maxMillis)
        while (!isClosed && nowMillis() < until) Thread.sleep(POLL_MILLIS)
    }

    private companion object {
        const val OWNER_PERIOD_MILLIS = 5_000L
        const val AGENT_PERIOD_MILLIS = 4_000L
        const val WORKER_PERIOD_MILLIS = 12_000L
        const val STOP_FAULT_PERIOD_MILLIS = 3_000L
        const val MAX_DOWN_MILLIS = 1_500L
        const val POLL_MILLIS = 50L

        val stopFaults = listOf(
            "{}",
            """{"dropStops":true}""",
            """{"delayStopsMillis":1500}""",
            """{"delayStopsMillis":5000}""",
        )
    }
}
