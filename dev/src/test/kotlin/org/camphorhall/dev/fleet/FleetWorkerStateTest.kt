package org.camphorhall.dev.fleet

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEmpty

/** The stand-in's own promises, on which the oracle of the soak relies. */
internal class FleetWorkerStateTest {
    private val oracle = FleetOracle()
    private val first = FleetWorkerState(1_000, oracle, "first")
    private val second = FleetWorkerState(1_000, oracle, "second")

    private fun FleetWorkerState.begin(run: Int, now: Long) {
        extendLease(now + 3_000)
        start("job.0.0.0", run, runMillis = 1_000, cpu = 0, now = now)
    }

    /** Guards against a violation that is seen although the first run had ended with its lease. */
    @Test
    fun `a run ends with its lease when nobody calls the worker`() {
        first.extendLease(500)
        first.start("job.0.0.0", 1, runMillis = 60_000, cpu = 0, now = 0)
        first.endFinishedRuns(600)
        second.begin(run = 2, now = 700)
        expectThat(oracle.report().violations).isEmpty()
    }

    @Test
    fun `two runs at a time are seen`() {
        first.begin(run = 1, now = 0)
        second.begin(run = 2, now = 10)
        expectThat(oracle.report().violations).hasSize(1)
    }

    @Test
    fun `a start after a noted end is seen, unless the lease expired before it was noted`() {
        first.begin(run = 1, now = 0)
        first.endFinishedRuns(1_500)
        first.acknowledgeEnds(1)
        second.begin(run = 2, now = 2_000)
        expectThat(oracle.report().violations).hasSize(1)
        second.endFinishedRuns(9_000)
        second.acknowledgeEnds(1)
        first.begin(run = 3, now = 9_100)
        expectThat(oracle.report().violations).hasSize(2)
    }
}
