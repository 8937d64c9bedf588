package org.camphorhall.dev.load

import org.junit.jupiter.api.Test
import org.junit.jupiter.api.assertThrows
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import strikt.assertions.isIn
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds

/** Guards against a load whose rate differs from the configured one, or that a seed does not reproduce. */
internal class ScheduleTest {
    private val steps = RateStep.parse("20x5s,60x5s")

    private fun schedule(arrivals: Schedule.Arrivals, seed: Int = 1) =
        Schedule(steps, arrivals, mapOf("short" to 3.0, "long" to 1.0), Random(seed)).requests().toList()

    @Test
    fun `uniform arrivals follow the steps`() {
        val requests = schedule(Schedule.Arrivals.Uniform)
        expectThat(requests.partition { it.sendTime < 5.seconds }.let { it.first.size to it.second.size })
            .isEqualTo(100 to 300)
    }

    @Test
    fun `poisson arrivals match the rate and the class weights and are reproducible by seed`() {
        val requests = schedule(Schedule.Arrivals.Poisson)
        expectThat(requests.size).isIn(340..460)
        expectThat(requests.count { it.className == "short" } * 100 / requests.size).isIn(65..85)
        expectThat(schedule(Schedule.Arrivals.Poisson).map { it.sendTime }).isEqualTo(requests.map { it.sendTime })
    }

    @ParameterizedTest
    @ValueSource(strings = ["", "20", "x5s", "20x", "0x5s", "20x0s", "20x5s,", "axb"])
    fun `malformed steps are rejected`(text: String) {
        assertThrows<IllegalArgumentException> { RateStep.parse(text) }
    }

    @Test
    fun `steps are parsed in order`() {
        expectThat(RateStep.parse("20x5s, 60x500ms"))
            .containsExactly(RateStep(20.0, 5.seconds), RateStep(60.0, 0.5.seconds))
    }
}
