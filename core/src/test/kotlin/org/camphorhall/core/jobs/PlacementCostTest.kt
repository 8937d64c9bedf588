package org.camphorhall.core.jobs

import org.camphorhall.core.jobs.ShardHarness.Companion.record
import org.camphorhall.core.jobs.ShardHarness.Companion.step
import org.camphorhall.core.model.Resources
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo

/** Guards against an owner that loses its shard because placement of a backlog uses up its CPU time. */
internal class PlacementCostTest {
    private fun waitingWork(): ShardHarness {
        val h = ShardHarness()
        repeat(WORKERS) { h.report(it) }
        val large = step(1, cpu = 9_000).copy(longRunning = true)
        repeat(WORKERS) { h.shard.accept(record(listOf(large), "5%015x".format(it)), h.now) }
        h.settle()
        val fill = StepSpec(20, Resources(3_500, 100), estimateMillis = 2_700, backfill = true, image = "fill")
        val short = step(20, cpu = 1_500)
        repeat(JOBS) { h.shard.accept(record(listOf(if (it % 2 == 0) fill else short), "b%015x".format(it)), h.now) }
        h.settle()
        return h
    }

    @Test
    fun `a placement pass checks equal task requirements once per worker`() {
        val h = waitingWork()
        val before = h.shard.summary(h.now).fitChecks
        h.shard.place(h.now, h.now)
        expectThat(h.shard.summary(h.now).fitChecks - before).isLessThanOrEqualTo(KINDS * WORKERS)
    }

    @Test
    fun `a tick without a placement pass checks no task`() {
        val h = waitingWork()
        val before = h.shard.summary(h.now).fitChecks
        h.shard.tick(h.now)
        expectThat(h.shard.summary(h.now).fitChecks).isEqualTo(before)
    }

    /** Guards against skipping a task because one with other requirements did not fit. */
    @Test
    fun `a task that fits starts although preceding tasks do not fit`() {
        val h = ShardHarness()
        h.report(1)
        val steps = listOf(
            step(1, cpu = 20_000),
            step(1).copy(requiredLabel = "none"),
            step(2, cpu = 6_000).copy(maxPerWorker = 1),
            step(1, cpu = 3_000),
        )
        for ((i, s) in steps.withIndex()) h.shard.accept(record(listOf(s), "c%015x".format(i)), h.now)
        h.settle()
        expectThat(h.starts.map { it.second.task.job.last() }).isEqualTo(listOf('2', '3'))
    }

    private companion object {
        const val WORKERS = 50
        const val JOBS = 200
        const val KINDS = 2L
    }
}
