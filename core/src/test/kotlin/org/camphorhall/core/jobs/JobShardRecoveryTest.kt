package org.camphorhall.core.jobs

import org.camphorhall.core.jobs.ShardHarness.Companion.JOB
import org.camphorhall.core.jobs.ShardHarness.Companion.end
import org.camphorhall.core.jobs.ShardHarness.Companion.record
import org.camphorhall.core.jobs.ShardHarness.Companion.step
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo

/** What a new owner does with the records of the earlier one. */
internal class JobShardRecoveryTest {
    private val job = record(listOf(step(1), step(1, after = listOf(0))))

    /** The earlier owner ordered the first task to worker 1. */
    private fun earlier(): ShardHarness = ShardHarness().also {
        it.report(1)
        it.shard.accept(job, it.now)
        it.settle()
    }

    private fun takeOver(first: ShardHarness, cancelled: Boolean = false) = ShardHarness().also {
        it.now = first.now
        val stored = StoredJob(job, first.records[JOB], 1, cancelled)
        it.shard.recover(listOf(stored), leasesEndAt = it.now + 6_000, it.now)
    }

    /** Guards against a task that runs in two places after the owner changed. */
    @Test
    fun `a recorded attempt is kept when its worker lists it`() {
        val first = earlier()
        val o = first.starts.single().second
        val h = takeOver(first)
        h.report(2, running = emptyList())
        h.report(1, running = listOf(RunningAttempt(o.task, o.attempt)))
        h.tick(500)
        expectThat(h.starts).isEmpty()
        expectThat(h.stops).isEmpty()
        h.report(1, running = emptyList(), ended = listOf(end(1, o, EndCause.Done)))
        expectThat(h.starts.map { it.second.task.step }).containsExactly(1)
    }

    /** Guards against a task that waits for an order that the earlier owner never sent. */
    @Test
    fun `a recorded attempt that its worker does not list starts again with a greater number`() {
        val first = earlier()
        val h = takeOver(first)
        h.report(1, running = emptyList(), lastCompletedCommand = 0)
        expectThat(h.starts.map { it.second.attempt }).containsExactly(2)
    }

    /** Guards against a second attempt while a worker that does not report may still run the first. */
    @Test
    fun `a recorded attempt on a silent worker waits until its lease has ended`() {
        val first = earlier()
        val h = takeOver(first)
        h.report(2, running = emptyList())
        h.tick(5_900)
        h.report(2, running = emptyList())
        expectThat(h.starts).isEmpty()
        h.tick(200)
        expectThat(h.starts).hasSize(1)
    }

    /** Guards against an end that the earlier owner stored and that is counted twice. */
    @Test
    fun `an end that was stored before is only acknowledged`() {
        val first = earlier()
        val o = first.starts.single().second
        first.report(1, running = emptyList(), ended = listOf(end(1, o, EndCause.Failed)))
        val h = takeOver(first)
        val second = first.starts.last().second
        h.report(
            1,
            running = listOf(RunningAttempt(second.task, second.attempt)),
            ended = listOf(end(1, o, EndCause.Failed)),
        )
        expectThat(h.acknowledged[1]).isEqualTo(1)
        expectThat(h.shard.phaseOf(JOB)).isEqualTo(JobPhase.Running)
        expectThat(h.starts).isEmpty()
    }

    /** Guards against the tasks of a job that was cancelled while nobody owned the shard. */
    @Test
    fun `a job cancelled meanwhile is stopped when its worker reports`() {
        val first = earlier()
        val o = first.starts.single().second
        val h = takeOver(first, cancelled = true)
        h.report(1, running = listOf(RunningAttempt(o.task, o.attempt)))
        h.tick(2_000)
        expectThat(h.stops.first().second.task).isEqualTo(o.task)
        expectThat(h.starts).isEmpty()
    }

    /** Guards against damaged rows that take the whole shard down. */
    @Test
    fun `rows that are not understood are left out`() {
        val h = ShardHarness()
        val progress = ProgressRecord(JobPhase.Running, tasks = listOf("x", "0,9,0,1,0,0,-1,", "0,0,0,1,1,0,-1,"))
        h.shard.recover(listOf(StoredJob(job, progress, 1, false)), h.now, h.now)
        h.report(1)
        expectThat(h.starts.map { it.second.task.step }).containsExactly(1)
    }
}
