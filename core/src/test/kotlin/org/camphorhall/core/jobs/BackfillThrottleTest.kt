package org.camphorhall.core.jobs

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan

/** Guards against backfill tasks that keep a serving task over its latency target, or that stay slow without need. */
internal class BackfillThrottleTest {
    private val serving = TaskRef("a", 0, 0, 0)
    private val filling = TaskRef("b", 0, 0, 0)
    private val traits = mapOf(
        serving to TaskTraits(latencyTargetMillis = 50),
        filling to TaskTraits(backfill = true),
    )

    /** Plays [seconds] in which the serving task has the latency that [latency] gives for the backfill share. */
    private fun play(throttle: BackfillThrottle, seconds: Int, from: Long = 0, latency: (Int) -> Long): Int {
        var share = throttle.percent
        for (half in 0 until seconds * 2) {
            val rows = listOf(AttemptRow(serving, 1, percent = 100, load = latency(share)), AttemptRow(filling, 1))
            for (s in throttle.decide(rows, traits, from + half * 500L)) {
                throttle.applied(s)
                share = s.percent
            }
        }
        return share
    }

    @Test
    fun `the share falls within three seconds until the target is met`() {
        val throttle = BackfillThrottle()
        expectThat(play(throttle, seconds = 3) { share -> 10L + share * 2 }).isLessThan(20)
    }

    @Test
    fun `the share recovers when the pressure is gone`() {
        val throttle = BackfillThrottle()
        val low = play(throttle, seconds = 3) { 200 }
        expectThat(play(throttle, seconds = 6, from = 3_000) { 10 }).isGreaterThan(low)
        expectThat(play(throttle, seconds = 10, from = 9_000) { 10 }).isEqualTo(100)
    }

    @Test
    fun `a new backfill task gets the present share`() {
        val throttle = BackfillThrottle()
        play(throttle, seconds = 2) { 200 }
        val second = TaskRef("c", 0, 0, 0)
        val rows = listOf(AttemptRow(second, 1))
        val shares = throttle.decide(rows, traits + (second to TaskTraits(backfill = true)), 2_100)
        expectThat(shares.single().percent).isEqualTo(throttle.percent)
    }
}
