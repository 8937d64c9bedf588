package org.camphorhall.core.jobs

import kotlinx.serialization.json.Json
import org.camphorhall.core.jobs.ShardHarness.Companion.JOB
import org.camphorhall.core.jobs.ShardHarness.Companion.record
import org.camphorhall.core.jobs.ShardHarness.Companion.step
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isNull

/** Tests what an owner does with a backfill task whose share its agent does not know. */
internal class UnknownShareTest {
    /** Guards against plans with the CPU usage of a throttled task, and against one that counts as slow. */
    @ParameterizedTest
    @CsvSource(nullValues = ["unknown"], value = ["100, 10, false", "20, 4000, true", "unknown, 4000, true"])
    fun `an unknown share hides the usage at the full share`(share: Int?, fullShareCpu: Long, wasThrottled: Boolean) {
        val spec = step(1, cpu = 4_000).copy(backfill = true)
        val t = TrackedTask(TaskRef(JOB, 0, 0, 0), spec)
        t.load = 10
        t.recordShare(share)
        expectThat(t.fullShareCpu).isEqualTo(fullShareCpu)
        expectThat(t.wasThrottled).isEqualTo(wasThrottled)
    }

    /** Guards against tasks of other kinds that are never slow, because an agent did not know their profiles. */
    @Test
    fun `an unknown share of a task without shares means nothing`() {
        val t = TrackedTask(TaskRef(JOB, 0, 0, 0), step(1))
        t.recordShare(null)
        expectThat(t.wasThrottled).isEqualTo(false)
    }

    /** Guards against agents that cannot connect to an owner of an earlier build, which decodes only numbers. */
    @Test
    fun `an unknown share is a number in messages`() {
        val attempt = RunningAttempt(TaskRef(JOB, 0, 0, 0), 1).withShare(null)
        val text = Json.encodeToString(RunningAttempt.serializer(), attempt)
        expectThat(text).contains("\"isShareKnown\":false").not().contains("null")
        expectThat(Json.decodeFromString(RunningAttempt.serializer(), text).knownShare).isNull()
        val earlier = """{"task":"$JOB/0/0/0","attempt":1,"share":30}"""
        expectThat(Json.decodeFromString(RunningAttempt.serializer(), earlier).knownShare).isEqualTo(30)
    }

    /** Guards against a move that loses work although the task is not throttled. */
    @ParameterizedTest
    @CsvSource(nullValues = ["unknown"], value = ["100, 0", "20, 1", "unknown, 0"])
    fun `only a task that is known to be throttled moves`(share: Int?, moves: Int) {
        val h = ShardHarness()
        h.report(1)
        val serving = step(1, cpu = 2_000).copy(longRunning = true, latencyTargetMillis = 50)
        h.shard.accept(record(listOf(serving), id = "00000000000000b1"), h.now)
        val backfill = step(1, cpu = 4_000).copy(backfill = true, checkpoints = true)
        h.shard.accept(record(listOf(backfill), id = "00000000000000b2"), h.now)
        h.settle()
        h.report(1, running = h.runningOn(1).map { it.copy(percent = 100, load = 10) }) {
            it.copy(listedAtMillis = 1_000)
        }
        expectThat(h.starts).hasSize(2)
        h.report(2)
        h.now += 2_500
        h.report(1, running = h.runningOn(1).map { it.copy(percent = 50, load = 10).withShare(share) })
        h.report(2)
        h.tick(0)
        expectThat(h.stops).hasSize(moves)
    }
}
