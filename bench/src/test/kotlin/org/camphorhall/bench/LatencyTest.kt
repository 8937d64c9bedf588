package org.camphorhall.bench

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isLessThanOrEqualTo
import kotlin.time.Duration.Companion.seconds

class LatencyTest {
    /** Guards against queues that grow during a demand peak, in which admitted requests would wait for seconds. */
    @Test
    fun `p99 latency of admitted requests at three times the demand is at most a fifth of the baseline`() {
        val withDefault = demandPeak(seed = 11, baseline = false)
        val withBaseline = demandPeak(seed = 11, baseline = true)
        expectThat(withDefault.totalP99Millis / withBaseline.totalP99Millis).isLessThanOrEqualTo(0.2)
        // At least half the requests can be served even without a queue; a policy that rejects most must not pass.
        expectThat(withDefault.refusedShare).isLessThan(0.5)
        expectThat(withDefault.unknown).isEqualTo(0)
    }

    /** Guards against long requests that occupy the slots of short ones, and against starvation of the long ones. */
    @Test
    fun `long requests raise the p99 wait of short ones by at most half`() {
        val withLong = pooled(long = true)
        val withoutLong = pooled(long = false)
        val short = withLong.getValue("quotes")
        expectThat(short.waitP99Millis / withoutLong.getValue("quotes").waitP99Millis).isLessThanOrEqualTo(1.5)
        expectThat(short.refusedShare).isLessThan(0.05)
        expectThat(withLong.getValue("plans").refusedShare).isLessThan(0.95)
        expectThat(withLong.getValue("plans").offered).isGreaterThan(200)
    }

    private fun pooled(long: Boolean) =
        summarizeByClass(listOf(1L, 2L, 3L).flatMap { mixedWorkload(it, long, false, 60.seconds) })
}
