package org.camphorhall.core.jobs

import org.camphorhall.core.jobs.ShardHarness.Companion.JOB
import org.camphorhall.core.jobs.ShardHarness.Companion.record
import org.camphorhall.core.jobs.ShardHarness.Companion.step
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNull

/** Tests the cancellation of jobs that their owner does not know yet. */
internal class EarlyCancellationTest {
    private val job = record(listOf(step(2)))
    private val h = ShardHarness().also { it.report(1) }

    /** Guards against tasks of a cancelled job that start because the notice of the job was the slower one. */
    @Test
    fun `a job whose cancellation arrives first never starts`() {
        expectThat(h.shard.cancel(JOB, h.now)).isFalse()
        expectThat(h.shard.phaseOf(JOB)).isNull()
        h.tick(500)
        h.shard.accept(job, h.now)
        h.tick(100)
        expectThat(h.starts).isEmpty()
        expectThat(h.shard.phaseOf(JOB)).isEqualTo(JobPhase.Cancelled)
        expectThat(h.records[JOB]?.phase).isEqualTo(JobPhase.Cancelled)
    }

    /** Guards against cancellations of unknown jobs that an owner keeps for ever. */
    @Test
    fun `a cancellation without a job is kept as long as a finished job`() {
        h.shard.cancel(JOB, h.now)
        h.now += JobShardSettings().retentionMillis + 1
        h.shard.expire(h.now)
        h.report(1)
        h.shard.accept(job, h.now)
        h.settle()
        expectThat(h.starts).hasSize(2)
    }
}
