package org.camphorhall.core.jobs

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan

/** Guards against backfill tasks that make a serving task miss its target, or that are throttled without need. */
internal class BackfillThrottleTest {
    private val serving = TaskRef("a", 0, 0, 0)
    private val backfill = TaskRef("b", 0, 0, 0)
    private val profiles = mapOf(
        serving to TaskProfile(latencyTargetMillis = 50, image = "serving"),
        backfill to TaskProfile(backfill = true, cpuMillis = 1_000, image = "strong"),
    )

    /** A throttle of the process that has started the first attempt of [backfill]. */
    private fun throttle() = BackfillThrottle().also { it.recordStarted(backfill, 1) }

    private fun decide(
        throttle: BackfillThrottle,
        rows: List<RunningAttempt>,
        now: Long,
        known: Map<TaskRef, TaskProfile> = profiles,
        weight: (String, String) -> Double = { _, _ -> 20.0 },
    ): List<BackfillThrottle.Share> =
        throttle.decide(BackfillThrottle.Inputs(rows, known, cpuMillis = 10_000, weight), now)
            .onEach(throttle::recordApplied)

    /** Simulates [seconds] in which [latency] maps the backfill share to the latency of the serving task. */
    private fun simulate(throttle: BackfillThrottle, seconds: Int, from: Long = 0, latency: (Int) -> Long): Int {
        for (half in 0 until seconds * 2) {
            val share = checkNotNull(throttle.shareOf(backfill, 1))
            val rows = listOf(
                RunningAttempt(serving, 1, percent = 100, load = latency(share)),
                RunningAttempt(backfill, 1, load = share * 10L),
            )
            decide(throttle, rows, from + half * 500L)
        }
        return checkNotNull(throttle.shareOf(backfill, 1))
    }

    @Test
    fun `the share decreases within three seconds until the target is met`() {
        val throttle = throttle()
        expectThat(simulate(throttle, seconds = 3) { share -> 10L + share * 2 }).isLessThan(20)
    }

    @Test
    fun `the share recovers once the latency is below the target`() {
        val throttle = throttle()
        val low = simulate(throttle, seconds = 3) { 200 }
        expectThat(simulate(throttle, seconds = 6, from = 3_000) { 10 }).isGreaterThan(low)
        expectThat(simulate(throttle, seconds = 10, from = 9_000) { 10 }).isEqualTo(100)
    }

    @Test
    fun `a new backfill task gets its share at once`() {
        val throttle = throttle()
        simulate(throttle, seconds = 2) { 200 }
        val second = TaskRef("c", 0, 0, 0)
        throttle.recordStarted(second, 1)
        val rows = listOf(RunningAttempt(serving, 1, percent = 100, load = 200), RunningAttempt(second, 1))
        val known = profiles + (second to TaskProfile(backfill = true, cpuMillis = 1_000, image = "strong"))
        expectThat(decide(throttle, rows, 1_600, known).single()).isEqualTo(BackfillThrottle.Share(second, 1, 0))
    }

    /** Guards against throttling images without interference instead of those with interference. */
    @Test
    fun `the task with the strongest interference is throttled first`() {
        val throttle = throttle()
        val weak = TaskRef("c", 0, 0, 0)
        throttle.recordStarted(weak, 1)
        val known = profiles + (weak to TaskProfile(backfill = true, cpuMillis = 3_000, image = "weak"))
        val rows = listOf(
            RunningAttempt(serving, 1, percent = 100, load = 60),
            RunningAttempt(backfill, 1, load = 1_000),
            RunningAttempt(weak, 1, load = 3_000),
        )
        for (n in 0..3) {
            decide(throttle, rows, n * 500L, known) { _, image -> if (image == "strong") 20.0 else 0.5 }
        }
        expectThat(throttle.shareOf(weak, 1)).isEqualTo(100)
        expectThat(checkNotNull(throttle.shareOf(backfill, 1))).isLessThan(100)
    }

    /** Guards against a share of an earlier process that outlives it, and against calls that change nothing. */
    @Test
    fun `only an unknown share is set to 100`() {
        val rows = listOf(RunningAttempt(backfill, 1))
        expectThat(decide(BackfillThrottle(), rows, 0)).containsExactly(BackfillThrottle.Share(backfill, 1, 100))
        expectThat(decide(throttle(), rows, 0)).isEmpty()
    }
}
