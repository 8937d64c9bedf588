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

/** Tests how attempts are started, ended, stopped and released. */
internal class JobShardAttemptsTest {
    private val h = ShardHarness()

    /** Guards against a running attempt that is missing in the records of the next owner. */
    @Test
    fun `a start command is sent only after its record is stored`() {
        h.report(1)
        h.shard.accept(record(listOf(step(1))), h.now)
        h.settle(isStoreUp = false)
        expectThat(h.starts).isEmpty()
        h.settle()
        expectThat(h.starts).hasSize(1)
        expectThat(h.records.getValue(JOB).tasks).containsExactly("0,0,0,1,0,0,0,")
    }

    /** Guards against attempts that are released because an incomplete report does not list them. */
    @Test
    fun `an incomplete report does not release other attempts`() {
        val h = ShardHarness()
        h.report(1)
        h.shard.accept(record(listOf(step(2))), h.now)
        h.settle()
        val (first, second) = h.starts.map { it.second }
        val ended = listOf(end(1, first, EndCause.Done))
        h.report(1, running = emptyList(), ended = ended) { it.copy(isComplete = false) }
        expectThat(h.starts).hasSize(2)
        h.report(1, running = listOf(RunningAttempt(second.task, second.attempt)), ended = ended)
        expectThat(h.starts).hasSize(2)
        h.report(1, running = emptyList(), ended = ended)
        expectThat(h.starts.last().second.attempt).isEqualTo(2)
    }

    /** Guards against an acknowledgement in response to each report although nothing has changed. */
    @Test
    fun `ends are acknowledged once on each connection`() {
        val h = ShardHarness()
        repeat(3) { h.report(1) }
        expectThat(h.acknowledgements).isEqualTo(1)
        h.shard.detach(1)
        repeat(3) { h.report(1, session = 2) }
        expectThat(h.acknowledgements).isEqualTo(2)
    }

    /** Guards against an end that its worker discards before it is stored. */
    @Test
    fun `an end is acknowledged only after it is stored`() {
        h.report(1)
        h.shard.accept(record(listOf(step(1))), h.now)
        h.settle()
        val o = h.starts.single().second
        val report = WorkerReport(profile(1), ended = listOf(end(1, o, EndCause.Done)), lastCompletedCommand = 1)
        h.shard.report(1, report, h.now)
        h.settle(isStoreUp = false)
        expectThat(h.acknowledged[1]).isEqualTo(0)
        expectThat(h.shard.phaseOf(JOB)).isEqualTo(JobPhase.Running)
        h.settle()
        expectThat(h.acknowledged[1]).isEqualTo(1)
        expectThat(h.shard.phaseOf(JOB)).isEqualTo(JobPhase.Completed)
    }

    /** Guards against tasks that start before the preceding steps are done. */
    @Test
    fun `a step waits for the steps before it`() {
        h.report(1)
        h.shard.accept(record(listOf(step(2), step(1, after = listOf(0)))), h.now)
        h.settle()
        expectThat(h.starts.map { it.second.task.step }).containsExactly(0, 0)
        val ends = h.starts.mapIndexed { i, (_, o) -> end(i + 1L, o, EndCause.Done) }
        h.report(1, running = h.runningOn(1).drop(1), ended = ends.take(1))
        expectThat(h.starts).hasSize(2)
        h.report(1, running = emptyList(), ended = ends)
        expectThat(h.starts.map { it.second.task.step }).containsExactly(0, 0, 1)
    }

    private class EndCase(val cause: EndCause, val restarts: Boolean, val failures: Int)

    private val endCases = mapOf(
        "stopped" to EndCase(EndCause.Stopped, restarts = true, failures = 0),
        "lease expired" to EndCase(EndCause.LeaseExpired, restarts = true, failures = 0),
        "failed" to EndCase(EndCause.Failed, restarts = true, failures = 1),
        "done" to EndCase(EndCause.Done, restarts = false, failures = 0),
    )

    /** Guards against tasks that are not restarted, restarted after success, or wrongly counted as failed. */
    @Test
    fun `each cause of an end has its effect`() {
        for ((name, case) in endCases) {
            val h = ShardHarness()
            h.report(1)
            h.shard.accept(record(listOf(step(1))), h.now)
            h.settle()
            val o = h.starts.single().second
            h.report(1, running = emptyList(), ended = listOf(end(1, o, case.cause, "saved")))
            expectThat(h.starts.drop(1).map { it.second.attempt to it.second.checkpoint }).describedAs(name)
                .isEqualTo(if (case.restarts) listOf(2 to "saved") else emptyList())
            expectThat(h.records.getValue(JOB).tasks.single().split(',')[5]).describedAs(name)
                .isEqualTo("${case.failures}")
        }
    }

    /** Guards against more failed attempts than configured, and against tasks that outlive their failed job. */
    @Test
    fun `a job fails after the last allowed attempt and its other tasks stop`() {
        h.report(1)
        h.shard.accept(record(listOf(step(2)), maxAttempts = 2), h.now)
        h.settle()
        val (a, b) = h.starts.map { it.second }
        h.report(1, running = listOf(RunningAttempt(b.task, 1)), ended = listOf(end(1, a, EndCause.Failed)))
        val again = h.starts.last().second
        h.report(1, running = listOf(RunningAttempt(b.task, 1)), ended = listOf(end(2, again, EndCause.Failed)))
        expectThat(h.shard.phaseOf(JOB)).isEqualTo(JobPhase.Failed)
        expectThat(h.starts).hasSize(3)
        expectThat(h.stops.map { it.second.task }).containsExactly(b.task)
    }

    /** Guards against a second attempt while the first may still run. */
    @Test
    fun `tasks of a disconnected worker are reassigned only after its lease expired`() {
        h.report(1)
        h.shard.accept(record(listOf(step(1))), h.now)
        h.settle()
        h.report(1)
        h.shard.detach(1)
        h.report(2, running = emptyList())
        h.tick(3_200)
        h.report(2, running = emptyList())
        expectThat(h.starts).hasSize(1)
        h.tick(200)
        expectThat(h.starts.map { it.first to it.second.attempt }).containsExactly(1L to 1, 2L to 2)
    }

    /** Guards against a second attempt while a worker holds a lease that was meant for its earlier incarnation. */
    @Test
    fun `tasks of a worker with a longer lease than its owner granted are reassigned only after that`() {
        h.report(1)
        h.shard.accept(record(listOf(step(1))), h.now)
        h.settle()
        h.report(1) { it.copy(remainingLeaseMillis = 6_000) }
        h.shard.detach(1)
        h.tick(5_900)
        h.report(2, running = emptyList())
        expectThat(h.starts).hasSize(1)
        h.tick(200)
        expectThat(h.starts.map { it.first to it.second.attempt }).containsExactly(1L to 1, 2L to 2)
    }

    /** Guards against waiting forever for an attempt that was never started. */
    @Test
    fun `an attempt that is not reported after its start command completed is restarted`() {
        h.report(1)
        h.shard.accept(record(listOf(step(1))), h.now)
        h.settle()
        h.report(1, running = emptyList(), lastCompletedCommand = 0)
        expectThat(h.starts).hasSize(1)
        h.report(1, running = emptyList(), lastCompletedCommand = 1)
        expectThat(h.starts.map { it.second.attempt }).containsExactly(1, 2)
    }

    /** Guards against work that runs again because its worker has more ends than it lists at a time. */
    @Test
    fun `an attempt is not lost while its worker has ends that it does not list`() {
        for (startedAt in listOf(1L, 2L)) {
            val h = ShardHarness()
            h.report(1)
            h.shard.accept(record(listOf(step(2))), h.now)
            h.settle()
            val (a, b) = h.starts.map { it.second }
            fun report(ended: List<AttemptEnd>, hasMoreEnds: Boolean) {
                h.now += 500
                h.report(1, session = startedAt, running = emptyList(), ended = ended, lastCompletedCommand = 2) {
                    it.copy(profile = profile(1, startedAt), hasMoreEnds = hasMoreEnds)
                }
            }
            repeat(10) { report(listOf(end(1, a, EndCause.Done)), hasMoreEnds = true) }
            h.tick(500)
            expectThat(h.starts).describedAs("incarnation $startedAt").hasSize(2)
            report(listOf(end(2, b, EndCause.Done)), hasMoreEnds = false)
            expectThat(h.starts).describedAs("incarnation $startedAt").hasSize(2)
            expectThat(h.shard.phaseOf(JOB)).describedAs("incarnation $startedAt").isEqualTo(JobPhase.Completed)
        }
    }

    /** Guards against tasks that remain assigned to an earlier incarnation of a worker. */
    @Test
    fun `a new incarnation of a worker releases the attempts of the earlier one`() {
        h.report(1)
        h.shard.accept(record(listOf(step(1))), h.now)
        h.settle()
        h.report(1, session = 2, running = emptyList(), lastCompletedCommand = 0) {
            it.copy(profile = profile(1, startedAt = 2))
        }
        expectThat(h.starts.map { it.first to it.second.attempt }).containsExactly(1L to 1, 2L to 2)
    }

    private class RestartCase(val isComplete: Boolean, val isRunning: Boolean, val acknowledged: Long)

    private val restartCases = mapOf(
        "the end in a complete report" to RestartCase(isComplete = true, isRunning = false, acknowledged = 1),
        "the end in an incomplete one" to RestartCase(isComplete = false, isRunning = false, acknowledged = 0),
        "a running attempt" to RestartCase(isComplete = true, isRunning = true, acknowledged = 0),
    )

    /** Guards against work that runs again after a start reached the next incarnation of a worker and ended. */
    @Test
    fun `an attempt that a worker restarted under its id lists belongs to that worker`() {
        for ((name, case) in restartCases) {
            val h = ShardHarness()
            h.report(1)
            h.shard.accept(record(listOf(step(1))), h.now)
            h.settle()
            val o = h.starts.single().second
            val restarted: (WorkerReport) -> WorkerReport = {
                it.copy(profile = profile(1, startedAt = 2), isComplete = case.isComplete)
            }
            val row = listOf(RunningAttempt(o.task, o.attempt)).filter { case.isRunning }
            val ends = listOf(end(1, o, EndCause.Done)).filter { !case.isRunning }
            h.report(1, session = 2, running = row, ended = ends, change = restarted)
            expectThat(h.starts).describedAs(name).hasSize(1)
            expectThat(h.acknowledged[2]).describedAs(name).isEqualTo(case.acknowledged)
            h.report(1, session = 2, running = row, ended = ends) { it.copy(profile = profile(1, startedAt = 2)) }
            expectThat(h.starts).describedAs("$name, later").hasSize(1)
        }
    }

    /** Guards against orphaned attempts, for example of a cancelled job after a disconnection. */
    @Test
    fun `an unassigned attempt is stopped`() {
        h.report(1, running = listOf(RunningAttempt(TaskRef("00000000000000bb", 0, 0, 0), 7)))
        expectThat(h.stops.map { it.second.attempt }).containsExactly(7)
    }

    /** Guards against tasks of a cancelled job that start or keep running. */
    @Test
    fun `a cancelled job stops its tasks and starts none`() {
        h.report(1)
        h.shard.accept(record(listOf(step(2), step(1, after = listOf(0)))), h.now)
        h.settle()
        h.shard.cancel(JOB, h.now)
        h.settle()
        expectThat(h.stops).hasSize(2)
        val ends = h.starts.mapIndexed { i, (_, o) -> end(i + 1L, o, EndCause.Stopped) }
        h.report(1, running = emptyList(), ended = ends)
        expectThat(h.starts).hasSize(2)
        expectThat(h.shard.phaseOf(JOB)).isEqualTo(JobPhase.Cancelled)
    }

    /** Guards against a start command for a job that was cancelled while the record of the start was being stored. */
    @Test
    fun `a cancellation drops a start whose record is not stored yet`() {
        h.report(1)
        h.shard.accept(record(listOf(step(1))), h.now)
        h.settle(isStoreUp = false)
        h.shard.cancel(JOB, h.now)
        h.settle()
        expectThat(h.starts).isEmpty()
    }

    /** Guards against new tasks on a worker that is about to terminate. */
    @Test
    fun `a draining worker gets no tasks`() {
        h.report(1) { it.copy(profile = profile(1, draining = true)) }
        h.shard.accept(record(listOf(step(1))), h.now)
        h.settle()
        expectThat(h.starts).isEmpty()
    }

    private class DrainCase(val step: StepSpec, val percent: Int, val isMoved: Boolean)

    private val drainCases = mapOf(
        "a long-running task" to DrainCase(step(1).copy(longRunning = true), percent = 100, isMoved = true),
        "a task with checkpoints that cannot finish in time" to
            DrainCase(step(1).copy(checkpoints = true), percent = 10, isMoved = true),
        "a task with checkpoints that finishes in time" to
            DrainCase(step(1).copy(checkpoints = true), percent = 90, isMoved = false),
        "a task without checkpoints" to DrainCase(step(1), percent = 10, isMoved = false),
    )

    /** Guards against losing progress on a worker that announced its termination. */
    @Test
    fun `a draining worker keeps only tasks that finish in time or have no checkpoint`() {
        for ((name, case) in drainCases) {
            val h = ShardHarness()
            h.report(1)
            h.shard.accept(record(listOf(case.step)), h.now)
            h.settle()
            h.now += 1_000
            val row = h.runningOn(1).map { it.copy(percent = case.percent) }
            h.report(1, running = row) { it.copy(profile = profile(1, draining = true).copy(remainingMillis = 2_000)) }
            h.tick(0)
            expectThat(h.stops).describedAs(name).hasSize(if (case.isMoved) 1 else 0)
        }
    }

    /** Guards against starting an attempt that was assigned before the worker began to drain. */
    @Test
    fun `a worker that begins to drain while the record is stored gets no start command`() {
        h.report(1)
        h.shard.accept(record(listOf(step(1))), h.now)
        h.settle(isStoreUp = false)
        h.shard.report(1, WorkerReport(profile(1, draining = true)), h.now)
        h.settle()
        expectThat(h.starts).isEmpty()
    }

    /** Guards against logs that do not show whether a late job waited for capacity or ran for long. */
    @Test
    fun `the end of an attempt is logged with its run time`() {
        val h = ShardHarness()
        h.report(1)
        h.shard.accept(record(listOf(step(1))), h.now)
        h.settle()
        h.now += 700
        h.report(1, running = emptyList(), ended = listOf(end(1, h.starts.single().second, EndCause.Done)))
        expectThat(h.logEvents.single { it.event == "attempt ended" }.ranMillis).isEqualTo(700)
    }

    private class Incarnation(val expectedStarts: Int, val change: (WorkerReport) -> WorkerReport)

    private val nextIncarnations = mapOf(
        "not reached yet" to Incarnation(1) { it.copy(running = emptyList(), reachable = false) },
        "not listed yet" to Incarnation(1) { it.copy(running = emptyList(), isComplete = false) },
        "running nothing" to Incarnation(2) { it.copy(running = emptyList()) },
        "running the attempt" to Incarnation(1) { it },
    )

    /** Guards against attempts that count as ended because a heartbeat names another incarnation of their worker. */
    @Test
    fun `an attempt of an earlier incarnation ends once the lists of a later one lack it`() {
        for ((name, case) in nextIncarnations) {
            val h = ShardHarness()
            h.report(1, session = 10)
            h.shard.accept(record(listOf(step(1))), h.now)
            h.settle()
            val started = h.runningOn(10)
            h.report(1, session = 11, running = started) {
                case.change(it.copy(profile = ShardHarness.profile(1, startedAt = 2), connection = 1))
            }
            expectThat(h.starts).describedAs(name).hasSize(case.expectedStarts)
            expectThat(h.stops).describedAs(name).isEmpty()
        }
    }

    private val outdatedReports = mapOf<String, (WorkerReport) -> WorkerReport>(
        "an earlier connection" to { it.copy(connection = 6) },
        "an earlier incarnation" to { it.copy(profile = ShardHarness.profile(1, startedAt = 0), connection = 8) },
    )

    /** Guards against a running attempt that counts as lost because an older report does not list it. */
    @Test
    fun `a report that was held up does not end an attempt`() {
        for ((name, change) in outdatedReports) {
            val h = ShardHarness()
            h.report(1, session = 10) { it.copy(connection = 7) }
            h.shard.accept(record(listOf(step(1))), h.now)
            h.settle()
            val started = h.runningOn(10)
            h.report(1, session = 9, running = emptyList(), change = change)
            h.report(1, session = 10, running = started) { it.copy(connection = 7) }
            expectThat(h.starts).describedAs(name).hasSize(1)
            expectThat(h.stops).describedAs(name).isEmpty()
        }
    }
}
