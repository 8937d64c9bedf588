package org.camphorhall.core.jobs.replay

import org.camphorhall.core.jobs.AttemptEnd
import org.camphorhall.core.jobs.EndCause
import org.camphorhall.core.jobs.JobPhase
import org.camphorhall.core.jobs.RoomRanking
import org.camphorhall.core.jobs.RunningAttempt
import org.camphorhall.core.jobs.ShardHarness
import org.camphorhall.core.jobs.ShardHarness.Companion.record
import org.camphorhall.core.jobs.ShardHarness.Companion.step
import org.camphorhall.core.jobs.WorkerCommand
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
        /** Of two steps, each of which takes [millis]. */
        val targetMillis: Long get() = 2 * 2 * millis + TARGET_MILLIS
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

        override fun toString() =
            "urgent in time %.2f; others in time %.2f, smaller half %.2f; useful %.2f, largest %.2f"
                .format(urgentInTime, inTime, smallestHalfInTime, served, largestTenthServed)
    }

    private fun arrivals(seed: Int): List<Arrival> {
        val random = Random(seed)
        val large = List(20) { i ->
            val millis = 2_000L + random.nextLong(0, 2_000)
            Arrival("%016x".format(i), i * 300L, 2 + random.nextInt(6) * random.nextInt(1, 4), millis, priority = 2)
        }
        val urgent = List(12) { i -> Arrival("%016x".format(100 + i), i * 500L, 2, 500, priority = 0) }
        return (large + urgent).sortedBy { it.at }
    }

    /** Ideal workers on sessions 1 and 2: each task ends after its estimate. */
    private class Workers(private val h: ShardHarness, private val millisOf: (job: String) -> Long) {
        private val running = listOf(1L, 2L).associateWith { LinkedHashMap<WorkerCommand.Start, Long>() }
        private val ends = listOf(1L, 2L).associateWith { 0L }.toMutableMap()
        private var seen = 0

        fun report() {
            for ((session, start) in h.starts.drop(seen)) running.getValue(session)[start] = h.now
            seen = h.starts.size
            for ((session, tasks) in running) {
                val done = tasks.filter { (start, at) -> h.now - at >= millisOf(start.task.job) }.keys
                tasks -= done
                val ended = done.map { start ->
                    AttemptEnd(ends.merge(session, 1L, Long::plus)!!, start.task, start.attempt, EndCause.Done)
                }
                val rows = tasks.map { (start, at) ->
                    val percent = (h.now - at) * FULL_PERCENT / millisOf(start.task.job)
                    RunningAttempt(start.task, start.attempt, percent = percent.toInt())
                }
                h.report(session.toInt(), running = rows, ended = ended, lastCompletedCommand = LAST_COMMAND)
            }
        }
    }

    private fun replay(arrivals: List<Arrival>, ranking: RoomRanking): Result {
        val h = ShardHarness(rankByRoom = ranking)
        val jobs = arrivals.associateBy { it.id }
        val workers = Workers(h) { jobs.getValue(it).millis }
        val remaining = arrivals.toMutableList()
        val endedAt = HashMap<String, Long>()
        val begin = h.now
        while (endedAt.size < arrivals.size && h.now - begin < LONGEST_MILLIS) {
            while (remaining.isNotEmpty() && begin + remaining.first().at <= h.now) {
                val a = remaining.removeFirst()
                val first = step(a.tasks).copy(estimateMillis = a.millis)
                val r = record(listOf(first, first.copy(after = listOf(0))), a.id)
                val jobClass = r.jobClass.copy(priority = a.priority, stretch = 2.0, targetMillis = TARGET_MILLIS)
                h.shard.accept(r.copy(jobClass = jobClass), h.now)
            }
            workers.report()
            val ended = jobs.keys.filter { it !in endedAt && h.shard.phaseOf(it) == JobPhase.Completed }
            ended.forEach { endedAt[it] = h.now - begin }
            h.tick(STEP_MILLIS)
        }
        return Result(arrivals, endedAt)
    }

    private val byDeadline: RoomRanking = { jobs, _, now -> jobs.map { rankAlone(it, now) } }

    /** Guards against an overload that makes most jobs late, lost jobs, and large jobs that never end. */
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
        const val STEP_MILLIS = 100L
        const val TARGET_MILLIS = 1_000L
        const val FULL_PERCENT = 100
        const val LAST_COMMAND = 1_000_000L
        const val LONGEST_MILLIS = 120_000L

        /** Multiple of the target until which a result is useful. */
        const val USEFUL = 3
    }
}
