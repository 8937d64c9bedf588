package org.camphorhall.core.jobs

import org.camphorhall.core.jobs.ShardHarness.Companion.record
import org.camphorhall.core.jobs.ShardHarness.Companion.step
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly

/** Guards against an overload that makes every job late instead of some. */
internal class JobPriorityTest {
    private fun job(id: String, arrivedAt: Long, estimate: Long, priority: Int = 0): TrackedJob {
        val r = record(listOf(step(1).copy(estimateMillis = estimate)), id)
        return TrackedJob(r.copy(jobClass = r.jobClass.copy(priority = priority)), arrivedAt)
    }

    @Test
    fun `jobs that can meet their target are first and those with useless results last`() {
        // The target is 1.5 times the estimate plus 250 ms.
        val jobs = listOf(
            job("useless", arrivedAt = 0, estimate = 1_000),
            job("late", arrivedAt = 8_000, estimate = 2_000),
            job("in time, later", arrivedAt = 9_900, estimate = 2_000),
            job("in time, sooner", arrivedAt = 9_900, estimate = 1_000),
            job("urgent class", arrivedAt = 0, estimate = 1_000, priority = -1),
        )
        val room = Room(10_000, 10_000)
        val ordered = jobs.sortedByPriority(now = 10_000, room) { it.record.jobClass.priority }
            .map { it.job.record.id }
        expectThat(ordered).containsExactly("urgent class", "in time, sooner", "in time, later", "late", "useless")
    }
}
