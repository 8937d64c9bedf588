package org.camphorhall.scheduler.agent

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** Guards against an order that counts as carried out before it was, so that its attempt would be taken as lost. */
internal class CommandTrackerTest {
    private val cases = mapOf(
        emptyList<Long>() to 0L,
        listOf(1L) to 1L,
        listOf(2L) to 0L,
        listOf(3L, 1L) to 1L,
        listOf(3L, 1L, 2L) to 3L,
    )

    @Test
    fun `orders count only together with all orders before them`() {
        for ((ended, expected) in cases) {
            val tracker = CommandTracker()
            ended.forEach(tracker::recordCompleted)
            expectThat(tracker.lastCompleted).describedAs("$ended").isEqualTo(expected)
        }
    }

    @Test
    fun `a new connection counts from the start`() {
        val tracker = CommandTracker()
        tracker.recordCompleted(1)
        tracker.reset()
        expectThat(tracker.lastCompleted).isEqualTo(0)
    }
}
