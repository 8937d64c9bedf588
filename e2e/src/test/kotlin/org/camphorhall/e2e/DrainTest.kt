package org.camphorhall.e2e

import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.BeforeAll
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotEmpty
import kotlin.concurrent.thread

/** P7 and P8: a planned stop interrupts no work, and a draining process gets no new work. */
internal class DrainTest {
    @BeforeEach
    fun restartEndedProcesses() {
        val processes = d.entries.map { it.process } + d.workers.flatMap { listOfNotNull(it.agent, it.backend) }
        processes.filter { !it.isAlive }.forEach { it.restart() }
        d.awaitReady()
    }

    /** Guards against new requests to a backend server that has announced its shutdown. */
    @Test
    fun `a draining backend server gets no new requests after 2 s and completes the running ones`() {
        val long = startLongRequests(8, millis = 5_000) { d.entries[it % 2] }
        val short = LoadGenerator(4) { d.entries[it % 2].request("quotes", "short-$it") }
        val draining = d.workers[0].backend!!
        draining.terminate()
        var last = Http.call("GET", "${d.workers[0].backendUrl}/debug/runs")
        while (draining.isAlive) {
            Http.call("GET", "${d.workers[0].backendUrl}/debug/runs").takeIf { it.status == 200 }?.let { last = it }
            Thread.sleep(100)
        }
        expectThat(draining.awaitExitStatus()).isEqualTo(0)
        expectThat(last.json.number("lastAfterLeaveMillis")).isLessThanOrEqualTo(2_000)
        expectAllCompleted(long.awaitResponses() + short.stop())
    }

    /** Guards against a drain that fails requests or loses the progress of tasks. */
    @Test
    fun `a drained worker completes its requests and its tasks resume from their checkpoints`() {
        val job = d.entries[0].submit(runMillis = 12_000, tasks = 6).json.text("id")
        d.entries[0].awaitRunning(job)
        val long = startLongRequests(8, millis = 2_000) { d.entries[it % 2] }
        val short = LoadGenerator(4) { d.entries[it % 2].request("quotes", "drain-$it") }
        val (status, output) = d.runCli("worker", "drain", "worker-0")
        expectThat(status).get("exit status, $output") { this }.isEqualTo(0)
        expectThat(d.workers[0].agent.awaitExitStatus()).isEqualTo(0)
        expectAllCompleted(long.awaitResponses() + short.stop())
        expectThat(d.entries[1].awaitEnd(job)).hasJobState("done")
        expectThat(d.workers[0].runs.filter { it.end == "stopped" }).isNotEmpty().all {
            get { reason }.isEqualTo("requested")
        }
        expectNoOverlappingRuns(d.runs)
        expectResumedFromCheckpoints(d.runs)
    }

    /** Guards against processes that exit on SIGTERM before their in-flight requests complete. */
    @Test
    fun `an entry and an agent complete their in-flight requests after SIGTERM`() {
        val long = startLongRequests(8, millis = 2_500) { d.entries[1] }
        d.entries[1].process.terminate()
        d.workers[1].agent.terminate()
        expectThat(d.entries[1].process.awaitExitStatus()).isEqualTo(0)
        expectThat(d.workers[1].agent.awaitExitStatus()).isEqualTo(0)
        expectAllCompleted(long.awaitResponses())
    }

    private class PendingRequests(private val callers: Thread, private val responses: () -> List<HttpResponse>) {
        fun awaitResponses(): List<HttpResponse> {
            callers.join()
            return responses()
        }
    }

    /** Sends non-idempotent requests and waits until all of them have started. */
    private fun startLongRequests(n: Int, millis: Long, to: (Int) -> EntryInstance): PendingRequests {
        val prefix = "long-${System.nanoTime()}"
        var responses = emptyList<HttpResponse>()
        val callers = thread {
            responses = inParallel(n) { to(it).request("orders", "$prefix-$it", key = "$prefix-$it", millis = millis) }
        }
        awaitCondition("the long requests run") {
            !callers.isAlive || d.workers.sumOf { w -> w.requestRunCounts.keys.count { it.startsWith(prefix) } } == n
        }
        return PendingRequests(callers) { responses }
    }

    private fun expectAllCompleted(responses: List<HttpResponse>) {
        expectThat(responses.size).isGreaterThan(0)
        expectThat(responses.filter { it.status != 200 }.map { "${it.status} ${it.text}" }).isEmpty()
    }

    companion object {
        private lateinit var d: Deployment

        @JvmStatic
        @BeforeAll
        fun start() {
            d = Deployment("drain")
            repeat(2) { d.addEntry() }
            repeat(2) { d.addWorker(classes = listOf("quotes", "orders"), requestCpuMillis = 50) }
            d.awaitReady()
            d.setClasses()
        }

        @JvmStatic
        @AfterAll
        fun stop() = d.close()
    }
}
