package org.camphorhall.core.jobs

import org.camphorhall.core.jobs.ShardHarness.Companion.end
import org.camphorhall.core.jobs.ShardHarness.Companion.profile
import org.camphorhall.core.jobs.ShardHarness.Companion.record
import org.camphorhall.core.jobs.ShardHarness.Companion.step
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo

/** Tests reports of the next incarnation of a worker before its agent has fenced it. */
internal class UnfencedReportTest {
    private val h = ShardHarness().also {
        it.report(1)
        it.shard.accept(record(listOf(step(1))), it.now)
        it.settle()
    }
    private val start = h.starts.single().second

    private fun report(
        running: List<RunningAttempt> = emptyList(),
        ended: List<AttemptEnd> = emptyList(),
        reachable: Boolean = false,
    ) = h.report(1, session = 11, running, ended) {
        it.copy(profile = profile(1, startedAt = 2), reachable = reachable)
    }

    /** Guards against a task that runs again because its end was acknowledged with a later one, and not counted. */
    @Test
    fun `an end that waits is not acknowledged with a later one`() {
        val other = AttemptEnd(2, TaskRef("00000000000000bb", 0, 0, 0), 1, EndCause.Done)
        val ended = listOf(end(1, start, EndCause.Done), other)
        report(ended = ended)
        expectThat(h.acknowledged[11L] ?: 0L).isEqualTo(0L)
        report(ended = ended, reachable = true)
        expectThat(h.acknowledged[11L]).isEqualTo(2L)
        expectThat(h.shard.phaseOf(start.task.job)).isEqualTo(JobPhase.Completed)
    }

    /** Guards against a stop of a run that belongs to the next incarnation. */
    @Test
    fun `a run that the next incarnation lists is not stopped`() {
        val running = listOf(RunningAttempt(start.task, start.attempt))
        report(running)
        report(running, reachable = true)
        expectThat(h.stops).isEmpty()
        expectThat(h.starts.size).isEqualTo(1)
    }
}
