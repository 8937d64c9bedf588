package org.camphorhall.core.jobs

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** Tests which jobs wait when there is too little room: 10 cores to reserve, 20 for backfill work. The time is 0. */
internal class OverloadOrderTest {
    /** A job that needs [seconds] of the whole room and should end after [target] seconds. */
    private fun job(
        seconds: Int,
        target: Int,
        priority: Int = 0,
        path: Int = 0,
        begun: Boolean = false,
        backfill: Boolean = false,
        total: Int = seconds,
    ) = JobDemand(
        priority,
        deadline = target * 1_000L,
        usefulUntil = target * 3_000L,
        remainingPathMillis = path * 1_000L,
        remainingWork = seconds * 10_000.0,
        totalWork = total * 10_000.0,
        hasBegun = begun,
        isBackfill = backfill,
    )

    private class Case(val jobs: List<JobDemand>, val ranks: String)

    // Results are useful for three times the target.
    private val cases = mapOf(
        "no job" to Case(emptyList(), ""),
        "all fit" to Case(listOf(job(2, 10), job(3, 10), job(5, 10)), "T T T"),
        "the smallest that frees enough room gives way" to
            Case(listOf(job(6, 10), job(4, 10), job(5, 11)), "T L T"),
        "one nearly done is worth more than the room that it needs" to
            Case(listOf(job(6, 10), job(4, 10, total = 16), job(5, 11)), "T T L"),
        "of equal ones the later gives way" to Case(listOf(job(6, 10), job(6, 10)), "T L"),
        "the first gives way if the larger later one then fits" to
            Case(listOf(job(4, 10), job(5, 10), job(6, 12)), "L T T"),
        "by deadlines alone all but the first would be late" to
            Case(listOf(job(8, 8), job(3, 9), job(3, 9), job(3, 10)), "L T T T"),
        "the largest of those that are late is deferred" to
            Case(listOf(job(20, 9), job(9, 9), job(9, 9), job(9, 9)), "D T L L"),
        "a job that has begun is finished" to Case(listOf(job(6, 10, begun = true), job(4, 10), job(5, 10)), "T T L"),
        "jobs that have begun never give way" to
            Case(listOf(job(6, 5, begun = true), job(9, 6, begun = true)), "T T"),
        "an urgent class does not give way to another" to
            Case(listOf(job(9, 10), job(1, 10, priority = 1), job(2, 10, priority = 1)), "T T L"),
        "an urgent class takes its room first" to
            Case(listOf(job(3, 5, priority = 2), job(8, 9, priority = 0), job(3, 12, priority = 2)), "L T T"),
        "a target that cannot be met alone" to Case(listOf(job(1, 5, path = 6), job(1, 5, path = 16)), "L X"),
        "late jobs take no room from others" to Case(listOf(job(9, 5, path = 6), job(4, 5)), "L T"),
        "work of unknown size does not give way" to Case(listOf(job(0, 1), job(9, 9), job(0, 2)), "T T T"),
        "backfill work takes no reserved room" to
            Case(listOf(job(5, 10, backfill = true), job(9, 10), job(5, 10, backfill = true)), "T T T"),
        "reserved work takes the room of backfill work" to
            Case(listOf(job(9, 10), job(14, 11, backfill = true), job(5, 12, backfill = true)), "T L T"),
        "a job larger than all of the room" to Case(listOf(job(100, 10), job(9, 10)), "D T"),
    )

    private fun List<RoomRank>.text() = joinToString(" ") {
        when (it) {
            RoomRank.OnTime -> "T"
            RoomRank.Deferred -> "D"
            RoomRank.Late -> "L"
            RoomRank.TooLate -> "X"
        }
    }

    /** Guards against an overload in which every job ends a little too late. */
    @Test
    fun `the jobs that need the most room are deferred, and only where targets would be missed`() {
        for ((name, case) in cases) {
            val ranks = rankByRoom(case.jobs, Room(10_000, 20_000), now = 0)
            expectThat(ranks.text()).describedAs(name).isEqualTo(case.ranks)
        }
    }

    /** Guards against deferrals by an owner that does not know the room yet. */
    @Test
    fun `nothing is deferred without known room`() {
        for (room in listOf(0L, -1L)) {
            expectThat(rankByRoom(listOf(job(9, 10), job(9, 10)), Room(room, room), now = 0).text()).isEqualTo("T T")
        }
    }

    /** Guards against estimates that overflow and put a huge job first. */
    @Test
    fun `a job of any size can be ranked`() {
        val huge = job(1, 5).copy(remainingWork = Double.MAX_VALUE, totalWork = Double.MAX_VALUE)
        expectThat(rankByRoom(listOf(huge, job(4, 10)), Room(1, 1), now = 0).text()).isEqualTo("D D")
        expectThat(rankByRoom(listOf(huge, job(4, 10)), Room(10_000, 10_000), now = 0).text()).isEqualTo("D T")
    }
}
