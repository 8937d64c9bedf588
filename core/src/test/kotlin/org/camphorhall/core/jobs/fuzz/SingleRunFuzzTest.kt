package org.camphorhall.core.jobs.fuzz

import org.junit.jupiter.api.Assertions.fail
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource

internal class SingleRunFuzzTest {
    private val seed = System.getProperty("fuzz.seed")?.toLong() ?: 1L
    private val steps = System.getProperty("fuzz.steps")?.toLong() ?: CI_STEPS

    /** Guards against two runs of one task, and runs after an acknowledged one, under combined faults. */
    @Test
    fun `keeps the single run under combined faults`() {
        val result = fuzz(steps, null)
        println("single run: $result")
        result.violation?.let { fail<Unit>("$result\n${result.log.joinToString("\n")}") }
    }

    /** Guards against a fuzzer that misses the removal of a guard. */
    @ParameterizedTest
    @EnumSource(PlantedFault::class, mode = EnumSource.Mode.EXCLUDE, names = ["EarlierEpochCounts"])
    fun `finds the planted fault`(fault: PlantedFault): Unit = expectFound(fault)

    /** Guards against a fuzzer that misses a report that counts under an earlier epoch. */
    @Test
    fun `finds the missing check of the epoch`(): Unit = expectFound(PlantedFault.EarlierEpochCounts)

    private fun expectFound(fault: PlantedFault) {
        val result = fuzz(CI_STEPS, fault)
        println("planted $fault: $result")
        if (result.violation == null) fail<Unit>("$fault was not found: $result")
    }

    private class FuzzResult(
        val seed: Long,
        val episodes: Long,
        val steps: Long,
        val starts: Long,
        val violation: RunViolation?,
        val log: List<String>,
    ) {
        override fun toString() = "seed $seed, episode $episodes, step $steps, $starts runs: ${violation?.message}"
    }

    /** Runs episodes from [seed] until [steps] events are done or a rule is broken. */
    private fun fuzz(steps: Long, fault: PlantedFault?): FuzzResult {
        var done = 0L
        var starts = 0L
        var episodeSeed = seed
        while (true) {
            val episode = Episode(episodeSeed, fault)
            val violation = try {
                episode.run()
                null
            } catch (e: RunViolation) {
                e
            }
            done += episode.sim.steps
            starts += episode.sim.oracle.starts
            if (violation != null || done >= steps) {
                return FuzzResult(episodeSeed, episodeSeed - seed + 1, done, starts, violation, episode.sim.log)
            }
            episodeSeed++
        }
    }

    private companion object {
        const val CI_STEPS = 3_000_000L
    }
}
