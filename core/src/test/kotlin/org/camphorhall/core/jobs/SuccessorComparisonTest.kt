package org.camphorhall.core.jobs

import org.junit.jupiter.api.Assertions.fail
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource

/**
 * Compares, at random steps whose state is stored, the owner that goes on with a successor that recovers from the
 * store: which attempts each stops, starts and leaves running until calm, and the phases of the jobs.
 *
 * A successor does without the following on purpose; the comparison leaves it out:
 *
 * - On which worker a task starts: instances to avoid, the health of workers, rejected starts and interference are
 *   learned again.
 * - When a task starts: the quarantine of a worker is forgotten, a worker that does not report is waited for longer,
 *   and jobs count as arrived at the recovery.
 * - Moves because of slowness or throttling, and of tasks with checkpoints off draining workers: progress is measured
 *   anew. The scenario's tasks say nothing about the speed of their workers and have no checkpoints.
 * - The wait of starved backfill tasks and their number of moves: the scenario has no backfill tasks.
 * - Checkpoints that were reported after the last write: the workers list them again.
 */
internal class SuccessorComparisonTest {
    private val firstSeed = System.getProperty("fuzz.seed")?.toLong() ?: 1L
    private val comparisons = System.getProperty("fuzz.comparisons")?.toInt() ?: CI_COMPARISONS

    /** A fault of a successor that the comparison has to find. */
    enum class PlantedSuccessor(
        val omitsStopsOfEnded: Boolean = false,
        val read: (StoredJob) -> StoredJob = { it },
    ) {
        EndedJobsUnstopped(omitsStopsOfEnded = true),
        CancellationsIgnored(read = { it.copy(cancelled = false) }),
        EndsIgnored(read = { s -> s.copy(progress = s.progress?.copy(phase = JobPhase.Running)) }),
        AssignmentsIgnored(read = { s -> s.copy(progress = s.progress?.copy(workers = emptyList())) }),
    }

    /** Guards against state that an owner keeps in memory only and that its successor would need. */
    @Test
    fun `a successor wants what the owner before it wanted`() {
        val difference = compare(comparisons, omitsStopsOfEnded = false) { it }
        println("comparison: seed $firstSeed, $comparisons comparisons: $difference")
        if (difference != null) fail<Unit>(difference)
    }

    /** Guards against a comparison that misses what a successor forgets. */
    @ParameterizedTest
    @EnumSource(PlantedSuccessor::class)
    fun `finds the planted fault of a successor`(fault: PlantedSuccessor) {
        val difference = compare(CI_COMPARISONS, fault.omitsStopsOfEnded, fault.read)
        println("comparison, planted $fault: $difference")
        if (difference == null) fail<Unit>("$fault was not found")
    }

    /** Compares at the stored steps of scenarios until [limit] is reached. Returns the first difference. */
    private fun compare(limit: Int, omitsStopsOfEnded: Boolean, read: (StoredJob) -> StoredJob): String? {
        var done = 0
        var seed = firstSeed
        while (done < limit) {
            for (steps in 1..STEPS) {
                val owner = scenario(seed, steps)
                if (!owner.isStored) continue
                done++
                val expected = owner.continueUntilCalm()
                val successor = scenario(seed, steps)
                val actual = successor.recoverUntilCalm(omitsStopsOfEnded, read)
                if (actual != expected) {
                    return "seed $seed, step $steps, comparison $done:\nowner     $expected\nsuccessor $actual\n" +
                        "owner's log\n${owner.log()}\nsuccessor's log\n${successor.log()}"
                }
            }
            seed++
        }
        return null
    }

    /** The same seed and number of steps lead to the same state. */
    private fun scenario(seed: Long, steps: Int) = SuccessorScenario(seed).apply { repeat(steps) { step() } }

    private companion object {
        const val STEPS = 80
        const val CI_COMPARISONS = 2_000
    }
}
