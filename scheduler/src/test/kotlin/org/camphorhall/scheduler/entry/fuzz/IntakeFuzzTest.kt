package org.camphorhall.scheduler.entry.fuzz

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.camphorhall.scheduler.support.Clock
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import kotlin.time.Duration.Companion.minutes

/** To run N episodes from seed S: -Dintake.episodes=N -Dintake.seed=S. */
@OptIn(ExperimentalCoroutinesApi::class)
internal class IntakeFuzzTest {
    private val seed = java.lang.Long.getLong("intake.seed", 1L)
    private val episodes = Integer.getInteger("intake.episodes", 150)

    /** Guards against answers to callers that a write which is still under way makes untrue. */
    @Test
    fun `answers stay true under lost and late writes`() {
        expectThat(firstViolation(episodes, null)).isEqualTo(null)
    }

    /** Guards against a fuzzer that misses the removal of a guard. */
    @ParameterizedTest
    @EnumSource(IntakeFault::class)
    fun `finds the planted fault`(fault: IntakeFault) {
        val found = firstViolation(CI_EPISODES, fault)
        println("planted $fault: $found")
        expectThat(found).isNotNull()
    }

    private fun firstViolation(episodes: Int, fault: IntakeFault?): String? = (seed until seed + episodes)
        .firstNotNullOfOrNull { s -> run(s, fault).firstOrNull()?.let { "seed $s: $it" } }

    private fun run(seed: Long, fault: IntakeFault?): List<String> {
        var violations = emptyList<String>()
        runTest(timeout = 1.minutes) {
            val clock = object : Clock {
                override fun steady(): Long = currentTime

                override fun wall(): Long = currentTime
            }
            violations = IntakeEpisode(seed, backgroundScope, clock, fault).run()
        }
        return violations
    }

    private companion object {
        const val CI_EPISODES = 150
    }
}
