package org.camphorhall.core.jobs.replay

import org.camphorhall.core.jobs.AttemptEnd
import org.camphorhall.core.jobs.EndCause
import org.camphorhall.core.jobs.JobPhase
import org.camphorhall.core.jobs.RoomRanking
import org.camphorhall.core.jobs.RunningAttempt
import org.camphorhall.core.jobs.ShardHarness
import org.camphorhall.core.jobs.ShardHarness.Companion.record
import org.camphorhall.core.jobs.ShardHarness.Companion.step
import org.camphorhall.core.jobs.rankAlone
import org.camphorhall.core.jobs.rankByRoom
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThanOrEqualTo
import kotlin.random.Random

/**
 * Replays a burst: for six seconds twice as much work arrives as two workers of ten cores can do, in jobs of different
 * size, with small urgent jobs between them. Each task takes as long as it was estimated to.
 */
internal class OverloadReplayTest {
    private class Arrival(val id: String, val at: Long, val tasks: Int, val millis: Long, val priority: Int) {
        val targetMillis: Long get() = millis * 3 / 2 + 250
    }

    private class Result(arrivals: List<Arrival>, private val endedAt: Map<String, Long>) {
        private val large = arrivals.filter { it.priority > 0 }.sortedBy { it.tasks * it.millis }
        private val urgent = arrivals.filter { it.priority == 0 }

        private fun Collection<Arrival>.inTime() =
            count { a -> endedAt[a.id]?.let { it - a.at <= a.targetMillis } ?: false }.toDouble() / size

        val urgentInTime get() = urgent.inTime()
        val inTime get() = large.inTime()
        val smallestHalfInTime get() = large.take(large.size / 2).inTime()
        val ended get() = endedAt.size

        private fun Collection<Arrival>.served() =
            count { a -> endedAt[a.id]?.let { it - a.at <= a.targetMillis * USEFUL } ?: false }.toDouble() / size

        val served get() = large.served()
        val largestTenthServed get() = large.takeLast(large.size / 10).served()

        override fun toString() = "urgent in time %.2f; others in time %.2f, smaller half %.2f; useful %.2f, largest %.2f"
            .format(urgentInTime, inTime, smallestHalfInTime, served, largestTenthServed)
    }

    private fun arrivals(seed: Int): List<Arrival> {
        val random = Random(seed)
        val large = List(20) { i ->
            val millis = 2_000L + random.nextLong(0, 2_000)
            Arrival("%016x".format(i), i * 300L, 2 + random.nextInt(6) * random.nextInt(1, 3), millis, priority = 2)
        }
        val urgent = List(12) { i -> Arrival("%016x".format(100 + i), i * 500L, 2, 500, priority = 0) }
        return (large + urgent).sortedBy { it.at }
    }

    private fun replay(arrivals: List<Arrival>, ranking: RoomRanking): Result {
        val h = ShardHarness(rankByRoom = ranking)
        val startedAt = HashMap<Pair<String, Int>, Long>()
        val numbers = HashMap<Long, Long>()
        val remaining = arrivals.toMutableList()
        val endedAt = HashMap<String, Long>()
        val begin = h.now
        while (endedAt.size < arrivals.size && h.now - begin < LONGEST_MILLIS) {
            while (remaining.isNotEmpty() && begin + remaining.first().at <= h.now) {
                val a = remaining.removeFirst()
                val r = record(listOf(step(a.tasks).copy(estimateMillis = a.millis)), a.id)
                h.shard.accept(r.copy(jobClass = r.jobClass.copy(priority = a.priority)), h.now)
            }
            for (n in 1..2) {
                val session = n.toLong()
                val running = h.runningOn(session).filter { "${it.task}" !in doneTasks(h) }
                val (done, going) = running.partition { r ->
                    val from = startedAt.getOrPut("${r.task}" to r.attempt) { h.now }
                    h.now - from >= arrivals.first { it.id == r.task.job }.millis
                }
                val ends = done.map { r ->
                    val number = numbers.merge(session, 1L, Long::plus)!!
                    AttemptEnd(number, r.task, r.attempt, EndCause.Done).also { h.ends += it }
                }
                h.report(n, running = going.map { RunningAttempt(it.task, it.attempt) }, ended = ends)
            }
            for (a in arrivals) {
                if (a.id !in endedAt && h.shard.phaseOf(a.id) == JobPhase.Completed) endedAt[a.id] = h.now - begin
            }
            h.tick(STEP_MILLIS)
        }
        return Result(arrivals, endedAt)
    }

    private fun doneTasks(h: ShardHarness): Set<String> = h.ends.mapTo(HashSet()) { "${it.task}" }

    private val byDeadline: RoomRanking = { jobs, _, now -> jobs.map { rankAlone(it, now) } }

    /** Guards against an overload that makes most jobs late, against lost jobs, and against large jobs that never end. */
    @Test
    fun `more jobs are in time than by deadlines alone, and no size is left out`() {
        val seeds = 1..SEEDS
        val ours = seeds.map { replay(arrivals(it), ::rankByRoom) }
        val earlier = seeds.map { replay(arrivals(it), byDeadline) }
        ours.zip(earlier).forEach { (a, b) -> println("by room: $a\nby deadline: $b") }
        expectThat(ours.map { it.ended }.distinct()).isEqualTo(listOf(32))
        expectThat(ours.map { it.inTime }.average()).isGreaterThanOrEqualTo(earlier.map { it.inTime }.average())
        expectThat(ours.map { it.urgentInTime }.average())
            .isGreaterThanOrEqualTo(earlier.map { it.urgentInTime }.average())
        expectThat(ours.map { it.largestTenthServed }.average())
            .isGreaterThanOrEqualTo(ours.map { it.served }.average() / 2)
    }

    private companion object {
        const val SEEDS = 10
        const val STEP_MILLIS = 50L
        const val LONGEST_MILLIS = 120_000L

        /** Multiple of the target until which a result is useful. */
        const val USEFUL = 3
    }
}
