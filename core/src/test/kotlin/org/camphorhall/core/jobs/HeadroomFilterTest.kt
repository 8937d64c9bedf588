package org.camphorhall.core.jobs

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import kotlin.math.PI
import kotlin.math.sin
import kotlin.random.Random

internal class HeadroomFilterTest {
    private val step = StepRef("a", 0, 0)

    /** Headroom of a serving task with periodic load, beside backfill images with the weights 1 and 10. */
    private fun headroom(utilization: Map<String, Double>, millis: Long): Double =
        2.7 + 1.1 * sin(2 * PI * millis / SWING_MILLIS) - 1 * (utilization["weak"] ?: 0.0) -
            10 * (utilization["strong"] ?: 0.0)

    /** Guards against weights that are masked by the load fluctuations of the serving task. */
    @Test
    fun `estimates weights from the samples of one task`() {
        val filter = HeadroomFilter()
        val random = Random(7)
        for (n in 0 until SAMPLES) {
            val utilization = mapOf("weak" to random.nextInt(3) * 0.1, "strong" to random.nextInt(2) * 0.1)
            filter.observe(step, headroom(utilization, n * PERIOD), utilization, n * PERIOD)
        }
        expectThat(filter.weight("weak") ?: 0.0).isLessThan(3.0)
        expectThat(filter.weight("strong") ?: 0.0).isGreaterThan(7.0)
    }

    /** Guards against weights that are not separable from the load because the backfill tasks never change. */
    @Test
    fun `estimates weights from siblings on other workers at constant utilization`() {
        val filter = HeadroomFilter()
        val utilizations = listOf(emptyMap(), mapOf("weak" to 0.15), mapOf("strong" to 0.1))
        for (n in 0 until SAMPLES) {
            for (u in utilizations) filter.observe(step, headroom(u, n * PERIOD), u, n * PERIOD)
        }
        expectThat(filter.weight("weak") ?: 0.0).isLessThan(3.0)
        expectThat(filter.weight("strong") ?: 0.0).isGreaterThan(7.0)
    }

    /** Guards against a state that grows with every job and every image. */
    @Test
    fun `removes ended steps and the oldest images`() {
        val filter = HeadroomFilter()
        for (n in 0 until 100) filter.observe(StepRef("job-$n", 0, 0), 2.0, mapOf("image-$n" to 0.1), n * PERIOD)
        filter.retainSteps(setOf(StepRef("job-99", 0, 0)))
        expectThat(filter.level(StepRef("job-98", 0, 0))).isEqualTo(null)
        expectThat(filter.weight("image-0")).isEqualTo(null)
        expectThat(filter.size).isLessThan(60)
    }

    private companion object {
        const val SAMPLES = 60
        const val PERIOD = 500L
        const val SWING_MILLIS = 20_000.0
    }
}
