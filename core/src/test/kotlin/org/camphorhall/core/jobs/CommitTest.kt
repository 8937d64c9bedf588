package org.camphorhall.core.jobs

import org.camphorhall.core.jobs.ShardHarness.Companion.record
import org.camphorhall.core.jobs.ShardHarness.Companion.step
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo

internal class CommitTest {
    private class Case(val recordRevision: Long, val jobsPerCommit: List<Int>)

    private val cases = mapOf(
        "revisions are not known" to Case(recordRevision = 0, listOf(15, 15, 10)),
        "revisions are conditions" to Case(recordRevision = 7, listOf(10, 10, 10, 10)),
    )

    /** Guards against a transaction with more entries than the store takes, which it refuses for ever. */
    @Test
    fun `a commit takes at most 32 entries`() {
        for ((name, case) in cases) {
            val h = ShardHarness()
            repeat(40) { h.shard.accept(record(listOf(step(1)), id = "%016x".format(it)), h.now, case.recordRevision) }
            repeat(40) { h.shard.cancel("%016x".format(it), h.now) }
            val sizes = generateSequence(h.shard::nextCommit).onEach { h.shard.committed(it, 9, h.now) }
                .map { it.writes.size }.toList()
            expectThat(sizes).describedAs(name).isEqualTo(case.jobsPerCommit)
        }
    }

    private class SuccessorCase(val isCancelled: Boolean, val phase: JobPhase)

    private val successorCases = mapOf(
        "it goes on" to SuccessorCase(isCancelled = false, JobPhase.Queued),
        "it was cancelled" to SuccessorCase(isCancelled = true, JobPhase.Cancelled),
    )

    /** Guards against a job that is lost, or runs although it is cancelled, because of a late notification. */
    @Test
    fun `the job that replaces a dropped one keeps its cancellation`() {
        for ((name, case) in successorCases) {
            val h = ShardHarness()
            h.report(1)
            h.shard.accept(record(listOf(step(1))), h.now, revision = 7)
            h.shard.place(h.now, h.now)
            h.shard.accept(record(listOf(step(1))), h.now, revision = 9)
            if (case.isCancelled) h.shard.cancel(ShardHarness.JOB, h.now)
            val commit = checkNotNull(h.shard.nextCommit())
            h.shard.committed(commit, 10, h.now, missing = setOf(ShardHarness.JOB))
            expectThat(h.shard.phaseOf(ShardHarness.JOB)).describedAs(name).isEqualTo(case.phase)
        }
    }

    /** Guards against a worker whose room stays taken by a job that was dropped. */
    @Test
    fun `a dropped job leaves its room to others`() {
        val h = ShardHarness()
        h.report(1)
        h.shard.accept(record(listOf(step(1, cpu = 10_000))), h.now, revision = 7)
        h.shard.place(h.now, h.now)
        val commit = checkNotNull(h.shard.nextCommit())
        h.shard.committed(commit, 9, h.now, missing = commit.writes.mapTo(HashSet()) { it.job })
        h.settle()
        expectThat(h.starts).isEmpty()
        expectThat(h.shard.phaseOf(ShardHarness.JOB)).isEqualTo(null)
        h.shard.accept(record(listOf(step(1, cpu = 10_000)), id = "00000000000000bb"), h.now, revision = 8)
        h.settle()
        expectThat(h.starts.map { it.second.task.job }).containsExactly("00000000000000bb")
    }
}
