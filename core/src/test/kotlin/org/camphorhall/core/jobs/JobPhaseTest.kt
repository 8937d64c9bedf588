package org.camphorhall.core.jobs

import org.camphorhall.core.jobs.ShardHarness.Companion.JOB
import org.camphorhall.core.jobs.ShardHarness.Companion.end
import org.camphorhall.core.jobs.ShardHarness.Companion.profile
import org.camphorhall.core.jobs.ShardHarness.Companion.record
import org.camphorhall.core.jobs.ShardHarness.Companion.step
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** Tests the phase of a job whose first task was assigned, and the number of pending jobs. */
internal class JobPhaseTest {
    private val job = record(listOf(step(1)))

    /** A shard with one worker that was sent the start of the only task. */
    private fun startTask(): ShardHarness = ShardHarness().also {
        it.report(1)
        it.shard.accept(job, it.now)
        it.settle()
    }

    private fun ShardHarness.reportStart(
        running: List<RunningAttempt> = emptyList(),
        ended: List<AttemptEnd> = emptyList(),
        rejected: List<RejectedStart> = emptyList(),
        isDraining: Boolean = true,
    ) = report(1, running = running, ended = ended) {
        // A draining worker is not sent the task again.
        it.copy(profile = profile(1, draining = isDraining), rejected = rejected)
    }

    private fun ShardHarness.rejectStart(isUnhealthy: Boolean) {
        val start = starts.last().second
        reportStart(rejected = listOf(RejectedStart(start.task, start.attempt, "status 503", isUnhealthy)))
    }

    private fun ShardHarness.listStart() {
        val start = starts.last().second
        reportStart(running = listOf(RunningAttempt(start.task, start.attempt)))
    }

    private class Case(val phase: JobPhase, val recorded: JobPhase, val change: ShardHarness.() -> Unit)

    private val cases = mapOf(
        "the start is sent" to Case(JobPhase.Queued, JobPhase.Running) {},
        "an unhealthy worker rejects the start" to
            Case(JobPhase.Queued, JobPhase.Queued) { rejectStart(isUnhealthy = true) },
        "the worker has no room" to Case(JobPhase.Queued, JobPhase.Queued) { rejectStart(isUnhealthy = false) },
        "the worker does not have the attempt" to Case(JobPhase.Queued, JobPhase.Queued) { reportStart() },
        "the worker lists the attempt" to Case(JobPhase.Running, JobPhase.Running) { listStart() },
        "the attempt has failed" to Case(JobPhase.Running, JobPhase.Running) {
            reportStart(ended = listOf(end(1, starts.last().second, EndCause.Failed)))
        },
        "a later attempt is rejected" to Case(JobPhase.Running, JobPhase.Running) {
            reportStart(ended = listOf(end(1, starts.last().second, EndCause.Failed)), isDraining = false)
            rejectStart(isUnhealthy = true)
        },
    )

    /** Guards against jobs that are not counted as pending because a start of theirs was sent and rejected. */
    @Test
    fun `a job is pending until a worker has begun a task`() {
        for ((name, case) in cases) {
            val h = startTask()
            case.change(h)
            h.settle()
            expectThat(h.shard.phaseOf(JOB)).describedAs(name).isEqualTo(case.phase)
            val pending = if (case.phase == JobPhase.Queued) 1 else 0
            expectThat(h.shard.pending("class")).describedAs(name).isEqualTo(pending)
            expectThat(h.records.getValue(JOB).phase).describedAs("recorded: $name").isEqualTo(case.recorded)
        }
    }

    /** Guards against pending jobs that the next owner takes for running ones because a task of theirs is assigned. */
    @Test
    fun `a new owner counts an assigned job as pending until a worker lists the attempt`() {
        val earlier = startTask()
        val start = earlier.starts.single().second
        val h = ShardHarness()
        h.shard.recover(listOf(StoredJob(job, earlier.records[JOB], 1, cancelled = false)), h.now + 6_000, h.now)
        expectThat(h.shard.pending("class")).isEqualTo(1)
        h.report(1, running = listOf(RunningAttempt(start.task, start.attempt)))
        expectThat(h.shard.pending("class")).isEqualTo(0)
    }
}
