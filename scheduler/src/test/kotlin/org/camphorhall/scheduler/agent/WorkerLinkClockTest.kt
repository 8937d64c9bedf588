package org.camphorhall.scheduler.agent

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.runCurrent
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isTrue

@OptIn(ExperimentalCoroutinesApi::class)
internal class WorkerLinkClockTest {
    private val worker = ScriptedWorker()

    /** Guards against a run that is taken for lost because newer lists look older than one with a false clock. */
    @Test
    fun `a run is reported although an earlier list had a clock far ahead`() = runTest {
        val link = linkWithLease(worker)
        val run = launch { link.run() }
        runCurrent()
        worker.polls.receive().respond(lists(9_000_000))
        runCurrent()
        val fence = launch { link.fence() }
        runCurrent()
        repeat(2) { n -> worker.polls.receive().respond(lists(2_000L + n, LINK_TASK)) }
        runCurrent()
        fence.join()
        val report = link.report(link.isFenced())
        run.cancel()
        expectThat(!report.reachable || report.running.isNotEmpty()).isTrue()
    }
}
