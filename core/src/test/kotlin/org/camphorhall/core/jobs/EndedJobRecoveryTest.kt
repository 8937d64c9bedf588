package org.camphorhall.core.jobs

import org.camphorhall.core.jobs.ShardHarness.Companion.JOB
import org.camphorhall.core.jobs.ShardHarness.Companion.end
import org.camphorhall.core.jobs.ShardHarness.Companion.record
import org.camphorhall.core.jobs.ShardHarness.Companion.step
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo

/** Tests that a new owner stops the attempts of jobs that have ended while their tasks run on. */
internal class EndedJobRecoveryTest {
    /** How the job of two running tasks ends under the earlier owner. */
    enum class JobEnd(val step: StepSpec, val phase: JobPhase, val isMarkedCancelled: Boolean = false) {
        Cancelled(step(2).copy(longRunning = true), JobPhase.Cancelled),
        CancelledWithMarker(step(2).copy(longRunning = true), JobPhase.Cancelled, isMarkedCancelled = true),
        Failed(step(2), JobPhase.Failed),
        Completed(step(2).copy(gang = true), JobPhase.Completed),
        ;

        val job = record(listOf(step), maxAttempts = 1)
    }

    /** Guards against tasks that run on after the owner that stopped them was replaced before they ended. */
    @ParameterizedTest
    @EnumSource(JobEnd::class)
    fun `attempts of a job that ended under the earlier owner are stopped again`(jobEnd: JobEnd) {
        val earlier = endUnderEarlierOwner(jobEnd)
        val h = takeOver(earlier, jobEnd)
        val running = earlier.stops.map { (_, stop) -> RunningAttempt(stop.task, stop.attempt) }
        repeat(20) { h.runOn(running) }
        expectThat(h.stops.map { it.second.task }.toSet()).isEqualTo(running.map { it.task }.toSet())
        expectThat(h.starts).isEmpty()
    }

    /** Guards against a successor whose stop is lost too, or that floods the agent with stops. */
    @ParameterizedTest
    @EnumSource(JobEnd::class)
    fun `a second successor repeats each stop at the retry time until the attempt ends`(jobEnd: JobEnd) {
        val earlier = endUnderEarlierOwner(jobEnd)
        val running = earlier.stops.map { (_, stop) -> RunningAttempt(stop.task, stop.attempt) }
        takeOver(earlier, jobEnd).let { h -> repeat(10) { h.runOn(running) } }
        val h = takeOver(earlier, jobEnd)
        repeat(40) { h.runOn(running) }
        expectThat(h.stops).hasSize(3 * running.size)
        val ends = running.mapIndexed { i, a -> AttemptEnd(i + 2L, a.task, a.attempt, EndCause.Stopped) }
        h.report(1, running = emptyList(), ended = ends)
        repeat(40) { h.runOn(emptyList()) }
        expectThat(h.stops).hasSize(3 * running.size)
        expectThat(h.starts).isEmpty()
        expectThat(h.records.getValue(JOB).workers).isEmpty()
    }

    private fun ShardHarness.runOn(running: List<RunningAttempt>) {
        report(1, running = running)
        tick(100)
    }

    /** Guards against a stop that waits for the repetition of one that had no connection to be sent on. */
    @ParameterizedTest
    @EnumSource(JobEnd::class)
    fun `attempts of an ended job are stopped as soon as their agent connects`(jobEnd: JobEnd) {
        val earlier = endUnderEarlierOwner(jobEnd)
        val h = takeOver(earlier, jobEnd)
        val running = earlier.stops.map { (_, stop) -> RunningAttempt(stop.task, stop.attempt) }
        h.tick(100)
        h.report(1, running = running)
        h.tick(100)
        expectThat(h.stops).hasSize(running.size)
    }

    /** Guards against a stop that is lost with its connection and not repeated for the retry time. */
    @Test
    fun `a stop is repeated at once on the next connection`() {
        val h = endUnderEarlierOwner(JobEnd.Cancelled)
        val running = h.stops.map { (_, stop) -> RunningAttempt(stop.task, stop.attempt) }
        h.shard.detach(1)
        h.report(1, session = 11, running = running)
        h.tick(100)
        expectThat(h.stops.filter { it.first == 11L }.map { it.second.task })
            .containsExactly(running.map { it.task })
    }

    /** Starts both tasks on worker 1 and ends the job so that at least one attempt is left. */
    private fun endUnderEarlierOwner(jobEnd: JobEnd) = ShardHarness().also { h ->
        h.report(1)
        h.shard.accept(jobEnd.job, h.now)
        h.settle()
        val (first, second) = h.starts.map { it.second }
        val running = listOf(RunningAttempt(second.task, second.attempt))
        when (jobEnd.phase) {
            JobPhase.Cancelled -> h.shard.cancel(JOB, h.now)
            JobPhase.Failed -> h.report(1, running = running, ended = listOf(end(1, first, EndCause.Failed)))
            else -> h.report(1, running = running, ended = listOf(end(1, first, EndCause.Done)))
        }
        h.settle()
        expectThat(h.records.getValue(JOB).phase).isEqualTo(jobEnd.phase)
    }

    private fun takeOver(earlier: ShardHarness, jobEnd: JobEnd) = ShardHarness().also {
        it.now = earlier.now
        val stored = StoredJob(jobEnd.job, earlier.records[JOB], 1, jobEnd.isMarkedCancelled)
        it.shard.recover(listOf(stored), leasesEndAt = it.now + 6_000, it.now)
    }
}
