package org.camphorhall.core.jobs

import org.camphorhall.core.jobs.ShardHarness.Companion.end
import org.camphorhall.core.jobs.ShardHarness.Companion.record
import org.camphorhall.core.jobs.ShardHarness.Companion.step
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan

internal class WorkerHealthTest {
    private class Case(val expected: WorkerHealthState, val events: WorkerHealth.() -> Unit)

    private val cases = mapOf(
        "a new worker" to Case(WorkerHealthState.Healthy) {},
        "one failure" to Case(WorkerHealthState.Healthy) { recordFailure("a", false, NOW) },
        "failures of one job" to Case(WorkerHealthState.Healthy) { repeat(5) { recordFailure("a", false, NOW) } },
        "failures of jobs that fail everywhere" to Case(WorkerHealthState.Healthy) {
            for (job in listOf("a", "b", "c")) recordFailure(job, true, NOW)
        },
        "failures of two jobs" to Case(WorkerHealthState.Quarantined) { failTwice() },
        "failures of two jobs, after the quarantine" to Case(WorkerHealthState.OnProbation) {
            failTwice(NOW - QUARANTINE)
        },
        "a failure on probation" to Case(WorkerHealthState.Quarantined) {
            failTwice(NOW - QUARANTINE)
            recordFailure("a", true, NOW)
        },
        "a task done on probation" to Case(WorkerHealthState.Healthy) {
            failTwice(NOW - QUARANTINE)
            recordSuccess(NOW)
        },
        "a task done in quarantine" to Case(WorkerHealthState.Quarantined) {
            failTwice()
            recordSuccess(NOW)
        },
        "a worker that reports itself unhealthy" to Case(WorkerHealthState.OnProbation) {
            recordSelfReport(false, NOW)
        },
        "one that does so and completes a task" to Case(WorkerHealthState.Healthy) {
            recordSelfReport(false, NOW)
            recordSuccess(NOW)
            recordSelfReport(false, NOW)
        },
        "one that recovered" to Case(WorkerHealthState.Healthy) {
            recordSelfReport(false, NOW)
            recordSelfReport(true, NOW)
        },
        "one without a task until the end of its probation" to Case(WorkerHealthState.Healthy) {
            failTwice(NOW - 20_000)
        },
        "one that rejected a start" to Case(WorkerHealthState.Quarantined) { recordRejection(NOW) },
    )

    private fun WorkerHealth.failTwice(at: Long = NOW) {
        recordFailure("a", false, at)
        recordFailure("b", false, at)
    }

    /** Guards against failing workers that count as healthy, and healthy ones that do not. */
    @Test
    fun `the health state follows from outcomes and self-reports`() {
        for ((name, case) in cases) {
            expectThat(WorkerHealth().apply(case.events).state(NOW)).describedAs(name).isEqualTo(case.expected)
        }
    }

    /**
     * Simulates a load above the capacity of one healthy worker beside one that fails every attempt. Guards against
     * jobs that use up their attempts on the failing worker, which always has free capacity.
     */
    @Test
    fun `a worker that fails every attempt does not attract the waiting tasks`() {
        val h = ShardHarness()
        val ended = mutableMapOf(1L to 0L, 2L to 0L)
        for (half in 0 until 20) {
            repeat(2) { n ->
                val id = "%016x".format(half * 2 + n + 1)
                h.shard.accept(record(listOf(step(4, cpu = 2_000)), id, maxAttempts = 2), h.now)
            }
            for (s in listOf(1L, 2L)) endAll(h, s, ended, if (s == 1L) EndCause.Failed else EndCause.Done)
            h.tick(500)
        }
        expectThat(h.logEvents.count { it.event == "worker health state changes" }).describedAs("lines")
            .isGreaterThan(0)
        val phases = h.records.values.groupingBy { it.phase }.eachCount()
        expectThat(phases[JobPhase.Failed] ?: 0).describedAs("failed jobs of $phases").isLessThan(2)
        expectThat(phases[JobPhase.Completed] ?: 0).describedAs("completed jobs").isGreaterThan(15)
    }

    /** Guards against a task that waits forever because the only worker that can run it is on probation. */
    @Test
    fun `a task starts on a worker on probation if no other worker can run it`() {
        val h = ShardHarness()
        val change: (WorkerReport) -> WorkerReport =
            { it.copy(profile = it.profile.copy(labels = listOf("b", "rack-1"))) }
        h.report(1, change = change)
        h.report(2)
        h.report(3)
        for (id in listOf("00000000000000c1", "00000000000000c2")) {
            h.shard.accept(record(listOf(step(1).copy(requiredLabel = "b")), id, maxAttempts = 2), h.now)
        }
        h.settle()
        val ends = h.starts.mapIndexed { i, (_, command) -> end(i + 1L, command, EndCause.Failed) }
        h.report(1, running = emptyList(), ended = ends, change = change)
        h.now += QUARANTINE
        h.report(2)
        h.report(3)
        h.report(1, running = emptyList(), change = change)
        expectThat(h.starts.drop(2)).hasSize(1)
    }

    private fun endAll(h: ShardHarness, session: Long, ended: MutableMap<Long, Long>, cause: EndCause) {
        val running = h.runningOn(session)
            .filter { row -> h.ends.none { it.task == row.task && it.attempt == row.attempt } }
        val ends = running.map { row ->
            val number = ended.getValue(session) + 1
            ended[session] = number
            end(number, h.starts.last { it.second.task == row.task && it.first == session }.second, cause)
        }
        h.ends += ends
        h.report(session.toInt(), running = emptyList(), ended = ends)
    }

    private companion object {
        /** Longer than a quarantine, in milliseconds. */
        const val QUARANTINE = 5_000L
        const val NOW = 100_000L
    }
}
