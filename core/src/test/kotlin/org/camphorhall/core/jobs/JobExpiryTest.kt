package org.camphorhall.core.jobs

import org.camphorhall.core.jobs.ShardHarness.Companion.JOB
import org.camphorhall.core.jobs.ShardHarness.Companion.end
import org.camphorhall.core.jobs.ShardHarness.Companion.profile
import org.camphorhall.core.jobs.ShardHarness.Companion.record
import org.camphorhall.core.jobs.ShardHarness.Companion.step
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull

internal class JobExpiryTest {
    /** Guards against a deletion beside a write of the same record, whose conflict costs the owner its shard. */
    @Test
    fun `a job expires only when its record is not being written`() {
        val h = ShardHarness()
        h.report(1)
        h.shard.accept(record(listOf(step(1))), h.now)
        h.settle()
        val start = h.starts.single().second
        h.report(1, running = emptyList(), ended = listOf(end(1, start, EndCause.Done)))
        h.now += JobShardSettings().retentionMillis + 1_000
        // The end is listed again, so that the record is written again.
        val again = listOf(end(2, start, EndCause.Done))
        h.shard.report(1, WorkerReport(profile(1), ended = again, remainingLeaseMillis = 3_000), h.now)
        val commit = h.shard.nextCommit()
        expectThat(commit).isNotNull()
        expectThat(h.shard.expire(h.now)).isEmpty()
        h.shard.committed(checkNotNull(commit), revision = 9, h.now)
        expectThat(h.shard.expire(h.now)).containsExactly(JOB)
    }

    /** Guards against an expired job that its owner takes for new while its records are not deleted yet. */
    @Test
    fun `a job that expired is not accepted again while its records are left`() {
        val h = ShardHarness()
        val job = record(listOf(step(1)))
        h.report(1)
        h.shard.accept(job, h.now)
        h.settle()
        val start = h.starts.single().second
        h.report(1, running = emptyList(), ended = listOf(end(1, start, EndCause.Done)))
        h.now += JobShardSettings().retentionMillis + 1_000
        expectThat(h.shard.expire(h.now)).containsExactly(JOB)
        h.report(1, running = emptyList())
        h.shard.accept(job, h.now)
        h.settle()
        expectThat(h.starts).hasSize(1)
    }

    private class Case(val meanwhile: ShardHarness.(job: JobRecord) -> Unit, val phase: JobPhase?)

    private val cases = mapOf(
        "nothing happens" to Case({ }, null),
        "the old record is read again" to Case({ shard.accept(it, now, revision = 3) }, null),
        "a record of unknown age is read" to Case({ shard.accept(it, now) }, null),
        "the job is stored again" to Case({ shard.accept(it, now, revision = 8) }, JobPhase.Queued),
        "the job is stored again and cancelled" to Case(
            {
                shard.accept(it, now, revision = 8)
                shard.cancel(it.id, now)
            },
            JobPhase.Cancelled,
        ),
        "a cancellation overtakes the new job" to Case(
            {
                shard.cancel(it.id, now)
                shard.accept(it, now, revision = 8)
            },
            JobPhase.Cancelled,
        ),
    )

    /** Guards against a job that is lost, or runs again, because it is stored while the earlier one is deleted. */
    @Test
    fun `a job that replaces one whose records are deleted is accepted after that`() {
        for ((name, case) in cases) {
            val h = ShardHarness()
            val job = record(listOf(step(1)))
            h.shard.accept(job, h.now, revision = 3)
            h.shard.cancel(job.id, h.now)
            h.settle()
            h.now += JobShardSettings().retentionMillis + 1_000
            expectThat(h.shard.expire(h.now)).containsExactly(JOB)
            case.meanwhile(h, job)
            expectThat(h.shard.phaseOf(JOB)).describedAs("$name, before the deletion").isEqualTo(JobPhase.Cancelled)
            h.shard.deleted(listOf(JOB), h.now)
            expectThat(h.shard.phaseOf(JOB)).describedAs(name).isEqualTo(case.phase)
        }
    }

    /** Guards against a worker whose later ends are never acknowledged, because one is listed during the deletion. */
    @Test
    fun `an end that is listed while the records are deleted is acknowledged`() {
        val h = ShardHarness()
        h.report(1)
        h.shard.accept(record(listOf(step(1))), h.now)
        h.settle()
        val start = h.starts.single().second
        h.report(1, running = emptyList(), ended = listOf(end(1, start, EndCause.Done)))
        h.now += JobShardSettings().retentionMillis + 1_000
        h.report(1, running = emptyList())
        expectThat(h.shard.expire(h.now)).containsExactly(JOB)
        val again = listOf(end(2, start, EndCause.Done))
        h.shard.report(1, WorkerReport(profile(1), ended = again, remainingLeaseMillis = 3_000), h.now)
        expectThat(h.shard.nextCommit()).isNull()
        h.shard.deleted(listOf(JOB), h.now)
        val acknowledged = h.shard.takeOutputs().filterIsInstance<ShardOutput.AcknowledgeEnds>()
        expectThat(acknowledged.map { it.number }).containsExactly(2)
    }
}
