package org.camphorhall.core.jobs

import org.camphorhall.core.jobs.ShardHarness.Companion.record
import org.camphorhall.core.jobs.ShardHarness.Companion.step
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo

/** Guards against tasks that stay on a stalled worker, and against moving tasks that merely take long. */
internal class StragglersTest {
    private val ids = listOf("00000000000000b1", "00000000000000b2")

    /** Simulates [jobs] of two tasks on two workers; [percent] maps session and half second to the progress. */
    private fun simulate(jobs: Int, percent: (Long, Int) -> Int): ShardHarness {
        val h = ShardHarness()
        h.report(1)
        h.report(2)
        for (id in ids.take(jobs)) h.shard.accept(record(listOf(step(2).copy(maxPerWorker = 1)), id), h.now)
        h.settle()
        for (half in 1..5) {
            h.now += 500
            for (s in listOf(1L, 2L)) {
                h.report(s.toInt(), running = h.runningOn(s).map { it.copy(percent = percent(s, half)) })
            }
            h.tick(0)
        }
        return h
    }

    @Test
    fun `tasks of several jobs that are stalled on one worker are moved`() {
        val h = simulate(jobs = 2) { session, half -> if (session == 1L) 5 else half * 15 }
        expectThat(h.stops.map { it.first }.toSet()).isEqualTo(setOf(1L))
        expectThat(h.stops.map { it.second.task }.toSet()).hasSize(2)
    }

    @Test
    fun `the fault is not attributed to the worker if only one job is slow`() {
        expectThat(simulate(jobs = 1) { session, half -> if (session == 1L) 5 else half * 15 }.stops).isEmpty()
    }

    @Test
    fun `tasks with progress are not moved`() {
        expectThat(simulate(jobs = 2) { session, half -> if (session == 1L) half * 8 else half * 15 }.stops).isEmpty()
    }

    /** Simulates one job on one worker; [percent] maps the half second to the progress of its tasks. */
    private fun simulateOneWorker(step: StepSpec, percent: (Int) -> Int): ShardHarness {
        val h = ShardHarness()
        h.report(1)
        h.shard.accept(record(listOf(step)), h.now)
        h.settle()
        for (half in 1..7) {
            h.now += 500
            h.report(1, running = h.runningOn(1).map { it.copy(percent = percent(half)) })
            h.tick(0)
        }
        return h
    }

    private class StalledCase(val step: StepSpec, val stops: Int, val percent: (Int) -> Int)

    private val cases = mapOf(
        "tasks that hang" to StalledCase(step(2), stops = 2) { 7 },
        "one task that hangs" to StalledCase(step(1), stops = 0) { 7 },
        "tasks with a long estimate" to StalledCase(step(2).copy(estimateMillis = 20_000), stops = 0) { 7 },
        "a gang that waits for one of its members" to StalledCase(step(2).copy(gang = true), stops = 0) { 0 },
        "slow progress" to StalledCase(step(2), stops = 0) { it },
        "backfill tasks without CPU" to StalledCase(step(2).copy(backfill = true), stops = 0) { 7 },
    )

    @Test
    fun `stalled tasks are moved although there are no siblings on other workers`() {
        for ((name, case) in cases) {
            expectThat(simulateOneWorker(case.step, case.percent).stops.map { it.second.task }.toSet())
                .describedAs(name).hasSize(case.stops)
        }
    }

    /**
     * Guards against moving tasks because reports are late: an owner without enough CPU time processes the reports of
     * all workers late, and moving their tasks would increase its load.
     */
    @Test
    fun `tasks stay while the reports on them are late`() {
        val h = ShardHarness()
        h.report(1)
        h.report(2)
        for (id in ids) h.shard.accept(record(listOf(step(2).copy(maxPerWorker = 1)), id), h.now)
        h.settle()
        h.now += 500
        h.report(2, running = h.runningOn(2).map { it.copy(percent = 40) })
        h.now += 900
        h.report(2, running = h.runningOn(2).map { it.copy(percent = 90) })
        // The first two reports of the other agent are delayed.
        h.report(1, running = h.runningOn(1).map { it.copy(percent = 4) })
        h.tick(0)
        h.now += 500
        h.report(1, running = h.runningOn(1).map { it.copy(percent = 54) })
        h.tick(0)
        expectThat(h.stops).isEmpty()
    }
}
