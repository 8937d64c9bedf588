package org.camphorhall.core.jobs

import org.camphorhall.core.jobs.ShardHarness.Companion.record
import org.camphorhall.core.jobs.ShardHarness.Companion.step
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo

/**
 * Tests which jobs are turned away. A job of the cases takes 1 s, has a target of 1.75 s and is useful for 5.25 s;
 * there are 10 cores to reserve and 20 for backfill work.
 */
internal class JobAdmissionTest {
    private fun load(vararg work: DueWork, room: Long = 10_000) = ShardLoad("service", room, room * 2, work.toList())

    /** Work that takes [seconds] of the room. */
    private fun due(seconds: Int, within: Int = 4, priority: Int = 1, backfill: Boolean = false) =
        DueWork(priority, backfill, within * 1_000L, seconds * 10_000.0)

    private class Case(val load: ShardLoad, val isUseful: Boolean, val tasks: Int = 10, val spec: JobSpec? = null)

    private val backfillJob = JobSpec("", listOf(step(10).copy(backfill = true)))

    private val cases = mapOf(
        "no work" to Case(load(), true),
        "work that leaves enough room" to Case(load(due(4)), true),
        "work that fills the time" to Case(load(due(5)), false),
        "a larger job in the same room" to Case(load(due(4)), false, tasks = 30),
        "a smaller job in the same room" to Case(load(due(5)), true, tasks = 1),
        "a job larger than all of the room" to Case(load(), false, tasks = 100),
        "work that may end later" to Case(load(due(100, within = 8)), true),
        "less urgent work" to Case(load(due(100, priority = 2)), true),
        "more urgent work, whenever it ends" to Case(load(due(5, within = 64, priority = 0)), false),
        "backfill work beside reserved work" to Case(load(due(100, backfill = true)), true),
        "backfill work beside a backfill job" to Case(load(due(10, backfill = true)), false, spec = backfillJob),
        "reserved work before a backfill job" to Case(load(due(10)), false, spec = backfillJob),
        "a backfill job with enough room" to Case(load(due(4), due(4, backfill = true)), true, spec = backfillJob),
        "an unknown room" to Case(load(due(100), room = 0), true),
        "a job that lasts" to Case(load(due(100)), true, spec = JobSpec("", listOf(step(10).copy(longRunning = true)))),
        "a job with times" to Case(load(due(100)), true, spec = JobSpec("", listOf(step(10)), Repeat(3, 0, 1_000))),
        "a job without estimates" to Case(load(), true, spec = JobSpec("", listOf(step(10).copy(estimateMillis = 0)))),
    )

    private val jobClass = record(listOf(step(1))).jobClass.copy(priority = 1)

    /** Guards against jobs that wait until they are useless, and against refusals while there is room. */
    @Test
    fun `a job is turned away if accepted work leaves no room for it in time`() {
        for ((name, case) in cases) {
            val forecast = forecastAdmission(case.spec ?: JobSpec("", listOf(step(case.tasks))), jobClass, case.load)
            expectThat(forecast is AdmissionForecast.Useful).describedAs(name).isEqualTo(case.isUseful)
        }
    }

    /** Guards against callers who return long before or long after there is room. */
    @Test
    fun `the forecast tells when room is expected`() {
        val forecast = forecastAdmission(JobSpec("", listOf(step(10))), jobClass, load(due(10)))
        expectThat(forecast).isA<AdmissionForecast.TooLate>()
            .get { roomAfterMillis }.isEqualTo(11_000L - 5_250L)
    }

    private fun harness(jobs: Int): ShardHarness = ShardHarness().also { h ->
        for (n in 1..2) h.report(n)
        repeat(jobs) { h.shard.accept(record(listOf(step(20)), id = "%016x".format(it)), h.now) }
        h.settle()
    }

    /** Guards against refusals by a load that counts work twice, or none. */
    @Test
    fun `the load of a shard is the work that can still be useful`() {
        val h = harness(jobs = 3)
        val load = h.shard.loads(h.now, minBacklogMillis = 0).single()
        expectThat(load).isEqualTo(ShardLoad("service", 20_000, 20_000, listOf(DueWork(0, false, 8_000, 60_000.0))))
        expectThat(h.shard.loads(h.now, minBacklogMillis = 3_001)).isEmpty()
        h.now += 10_000
        expectThat(h.shard.loads(h.now, minBacklogMillis = 0)).isEmpty()
    }

    /** Guards against refusals by an owner that has not heard of most of its workers yet. */
    @Test
    fun `a new owner tells no load until its workers had the time to report`() {
        val h = ShardHarness()
        val jobs = List(3) { StoredJob(record(listOf(step(20)), id = "%016x".format(it)), null, 0, cancelled = false) }
        h.shard.recover(jobs, leasesEndAt = h.now, h.now)
        h.report(1)
        expectThat(h.shard.loads(h.now, minBacklogMillis = 0)).isEmpty()
        h.now += 3_400
        for (n in 1..2) h.report(n)
        expectThat(h.shard.loads(h.now, minBacklogMillis = 0)).hasSize(1)
    }

    private val ages = mapOf(
        "accepted just now" to 0L,
        "accepted long ago" to 9_000L,
        "accepted by a clock that is ahead" to -5_000L,
    )

    /** Guards against an owner that takes up jobs which are useless by now before those that can be in time. */
    @Test
    fun `a new owner puts a job that has waited too long behind the others`() {
        for ((name, age) in ages) {
            val h = ShardHarness()
            val wall = 1_000_000L
            val old = record(listOf(step(20)), id = "00000000000000a1").copy(acceptedAtMillis = wall - age)
            val recent = record(listOf(step(20, cpu = 1_001)), id = "00000000000000a2").copy(acceptedAtMillis = wall)
            val stored = listOf(old, recent).map { StoredJob(it, null, 0, cancelled = false) }
            h.shard.recover(stored, leasesEndAt = h.now, h.now, wall)
            h.report(1)
            val first = if (age > 5_250) recent else old
            expectThat(h.starts.first().second.task.job).describedAs(name).isEqualTo(first.id)
        }
    }
}
