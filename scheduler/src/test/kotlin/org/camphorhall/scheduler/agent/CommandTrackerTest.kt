package org.camphorhall.scheduler.agent

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** Guards against a command that is reported as completed too early, so that its attempt is treated as lost. */
internal class CommandTrackerTest {
    private val cases = mapOf(
        emptyList<Long>() to 0L,
        listOf(1L) to 1L,
        listOf(2L) to 0L,
        listOf(3L, 1L) to 1L,
        listOf(3L, 1L, 2L) to 3L,
    )

    @Test
    fun `a command counts as completed only once all earlier commands are completed`() {
        for ((ended, expected) in cases) {
            val tracker = CommandTracker()
            ended.forEach(tracker::recordCompleted)
            expectThat(tracker.lastCompleted).describedAs("$ended").isEqualTo(expected)
        }
    }

    @Test
    fun `a new connection restarts the command numbers`() {
        val tracker = CommandTracker()
        tracker.recordCompleted(1)
        tracker.reset()
        expectThat(tracker.lastCompleted).isEqualTo(0)
    }
}
