package org.camphorhall.core.jobs

import org.camphorhall.core.jobs.ShardHarness.Companion.JOB
import org.camphorhall.core.jobs.ShardHarness.Companion.profile
import org.camphorhall.core.jobs.ShardHarness.Companion.record
import org.camphorhall.core.jobs.ShardHarness.Companion.step
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo

internal class StopLogTest {
    /** Why a running attempt is stopped. */
    enum class Cause(val detail: String, val stop: ShardHarness.() -> Unit) {
        JobEnded("job ended: Cancelled", { shard.cancel(JOB, now) }),
        Draining("worker drains", { report(1, change = { it.copy(profile = profile(1, draining = true)) }) }),
        NotAssigned("not assigned", {
            val start = starts.single().second
            report(1, running = listOf(RunningAttempt(start.task, start.attempt + 1)), lastCompletedCommand = 0)
        }),
    }

    /** Guards against records of an incident that do not show whether and why an attempt was stopped. */
    @ParameterizedTest
    @EnumSource(Cause::class)
    fun `each stop is logged with its cause`(cause: Cause) {
        val h = ShardHarness()
        h.report(1)
        h.shard.accept(record(listOf(step(1).copy(longRunning = true))), h.now)
        h.settle()
        cause.stop(h)
        h.tick(100)
        val stop = h.stops.single().second
        val line = h.logEvents.single { it.event == "stop sent" }
        expectThat(line.task).isEqualTo(stop.task)
        expectThat(line.attempt).isEqualTo(stop.attempt)
        expectThat(line.worker).isEqualTo("worker-1")
        expectThat(line.detail).isEqualTo(cause.detail)
    }
}
