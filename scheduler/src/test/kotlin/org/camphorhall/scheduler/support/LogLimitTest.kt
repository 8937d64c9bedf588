package org.camphorhall.scheduler.support

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

internal class LogLimitTest {
    private class Case(val lines: Int, val times: List<Long>, val written: List<Pair<Long, Long>>)

    private class TestClock(var now: Long = 0) : Clock {
        override fun steady(): Long = now

        override fun wall(): Long = now
    }

    private val cases = mapOf(
        "one line per second" to Case(1, listOf(5, 6, 1_004, 1_005), listOf(5L to 0, 1_005L to 2)),
        "several lines per second" to
            Case(2, listOf(5, 6, 7, 8, 1_005, 1_006, 1_007), listOf(5L to 0, 6L to 0, 1_005L to 2, 1_006L to 0)),
        "nothing left out" to
            Case(2, listOf(0, 900, 1_000, 5_000), listOf(0L to 0, 900L to 0, 1_000L to 0, 5_000L to 0)),
    )

    /** Guards against log lines without a bound, and against lines that are left out without a trace. */
    @Test
    fun `lines above the limit are counted in the next line`() {
        for ((name, case) in cases) {
            val clock = TestClock()
            val limit = LogLimit(clock, case.lines)
            val written = mutableListOf<Pair<Long, Long>>()
            for (at in case.times) {
                clock.now = at
                limit.log { written += at to it }
            }
            expectThat(written.toList()).describedAs(name).isEqualTo(case.written)
        }
    }
}
