package org.camphorhall.scheduler.owner

import org.camphorhall.core.jobs.ShardOutput
import org.camphorhall.core.jobs.TaskRef
import org.camphorhall.scheduler.support.Clock
import org.camphorhall.scheduler.support.LogCapture
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.get
import strikt.assertions.isEqualTo

internal class ShardLogTest {
    private class TestClock(var now: Long = 0) : Clock {
        override fun steady(): Long = now

        override fun wall(): Long = now
    }

    private val clock = TestClock()
    private val log = ShardLog(epoch = 6, clock)

    private fun event(name: String, index: Int = 5) =
        ShardOutput.LogEvent(name, JOB, TaskRef(JOB, 0, 0, index), 2, "worker-1", "job ended: Cancelled", null)

    /** Guards against a line of an owner that the names of the outside do not find, or that has no epoch. */
    @Test
    fun `a decision is logged with the job, the task and the epoch`(): Unit = LogCapture(SOURCE).use { capture ->
        log.write(event("stop sent"))
        expectThat(capture.lines.single().message).isEqualTo("stop sent")
        expectThat(capture.lines.single().fields).isEqualTo(
            mapOf(
                "job" to JOB,
                "task" to "$JOB.0.0.5",
                "attempt" to 2,
                "worker" to "worker-1",
                "detail" to "job ended: Cancelled",
                "epoch" to 6L,
            ),
        )
    }

    /** Guards against a cancelled job of many tasks whose lines cost the owner its processor time. */
    @Test
    fun `lines of stops are bounded and those of ends are not`(): Unit = LogCapture(SOURCE).use { capture ->
        val unbounded = listOf("attempt ended", "attempt lost", "job ended")
        for (i in 0 until TASKS) (unbounded + "stop sent").forEach { log.write(event(it, i)) }
        clock.now = 1_000
        log.write(event("stop sent"))
        val counts = capture.lines.groupingBy { it.message }.eachCount()
        expectThat(counts).isEqualTo(unbounded.associateWith { TASKS } + ("stop sent" to STOP_LINES + 1))
        expectThat(capture.lines.last().fields)["suppressed"].isEqualTo((TASKS - STOP_LINES).toLong())
    }

    private companion object {
        const val SOURCE = "owner.ShardLog"
        const val JOB = "a7b7a35296c61bd5"
        const val TASKS = 3_000
        const val STOP_LINES = 50
    }
}
