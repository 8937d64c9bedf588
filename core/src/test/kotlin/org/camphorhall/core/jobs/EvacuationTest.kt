package org.camphorhall.core.jobs

import org.camphorhall.core.jobs.ShardHarness.Companion.record
import org.camphorhall.core.jobs.ShardHarness.Companion.step
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import kotlin.random.Random

/** Tests that no task starts in a failure domain that the operators evacuate. */
internal class EvacuationTest {
    private val settings = JobShardSettings(evacuationMillis = 5_000)

    /** Workers 1 and 2 are in the failure domain "zone", worker 3 is in "other". */
    private fun ShardHarness.reportAll() {
        for (n in 1..2) report(n)
        report(3) { it.copy(profile = it.profile.copy(failureDomain = "other")) }
    }

    private fun ShardHarness.startedIn(zone: Set<Long>) = starts.filter { it.first in zone }

    private val zone = setOf(1L, 2L)

    /** Guards against starts in an evacuated failure domain, and against one that stays out of use afterwards. */
    @Test
    fun `tasks start elsewhere until the evacuation ends`() {
        val h = ShardHarness(settings)
        h.shard.evacuate(setOf("zone"), h.now)
        h.reportAll()
        h.shard.accept(record(listOf(step(25))), h.now)
        h.settle()
        expectThat(h.starts.map { it.first }).hasSize(10).all { isEqualTo(3L) }
        h.shard.evacuate(emptySet(), h.now)
        h.settle()
        expectThat(h.startedIn(zone)).hasSize(15)
        expectThat(h.logEvents.map { it.event }.filter { "failure domain" in it })
            .isEqualTo(listOf("failure domain evacuated", "failure domain in use again"))
    }

    /** Guards against work that is lost by an evacuation: what runs goes on, and waits for nothing. */
    @Test
    fun `tasks that run there go on`() {
        val h = ShardHarness(settings)
        h.shard.evacuate(emptySet(), h.now)
        h.reportAll()
        h.shard.accept(record(listOf(step(2), step(2).copy(longRunning = true))), h.now)
        h.settle()
        h.shard.evacuate(setOf("zone", "other"), h.now)
        repeat(20) {
            h.reportAll()
            h.tick(100)
            h.shard.evacuate(setOf("zone", "other"), h.now)
        }
        expectThat(h.starts).hasSize(4)
        expectThat(h.stops).isEmpty()
    }

    /** Guards against a start that is sent after the evacuation because its record was written before. */
    @Test
    fun `a start whose record is being written is not sent`() {
        val h = ShardHarness(settings)
        h.shard.evacuate(emptySet(), h.now)
        for (n in 1..2) h.report(n)
        h.shard.accept(record(listOf(step(2))), h.now)
        h.shard.place(h.now, h.now)
        val commit = checkNotNull(h.shard.nextCommit())
        h.shard.evacuate(setOf("zone"), h.now)
        h.shard.committed(commit, 1, h.now)
        expectThat(h.shard.takeOutputs().filterIsInstance<ShardOutput.Send>()).isEmpty()
    }

    private val ages = mapOf(
        "never read" to null,
        "read just now" to 0L,
        "as old as allowed" to 1_660L,
        "older than that" to 1_661L,
    )

    /** Guards against an owner that starts tasks where an evacuation may have been requested unseen. */
    @Test
    fun `without a recent state nothing starts`() {
        for ((name, age) in ages) {
            val h = ShardHarness(settings)
            age?.let { h.shard.evacuate(emptySet(), h.now - it) }
            h.report(1)
            h.shard.accept(record(listOf(step(1))), h.now)
            h.settle()
            val expected = if (age != null && age <= 1_660) 1 else 0
            expectThat(h.starts).describedAs(name).hasSize(expected)
        }
    }

    /** Guards against a platform without evacuations on which nothing starts. */
    @Test
    fun `without evacuations tasks start at once`() {
        val h = ShardHarness()
        h.report(1)
        h.shard.accept(record(listOf(step(1))), h.now)
        h.settle()
        expectThat(h.starts).hasSize(1)
    }

    /**
     * Guards against a start that leaves any owner of a sequence too late. The state reaches the owners with random
     * delays, owners change at random times, and commits are in progress for a random time.
     */
    @Test
    fun `no start is sent after the state has reached the owner, in 1,000 seeded runs`() {
        for (seed in 1..RUNS) {
            val random = Random(seed)
            var h = ShardHarness(settings)
            var isEvacuated = false
            var knownAt = h.now
            var seen = false
            var next = 0
            h.shard.evacuate(emptySet(), h.now)
            repeat(STEPS) {
                if (random.nextInt(8) == 0) isEvacuated = !isEvacuated
                if (random.nextInt(3) == 0) {
                    h.shard.evacuate(if (isEvacuated) setOf("zone") else emptySet(), h.now)
                    knownAt = h.now
                    seen = isEvacuated
                }
                if (random.nextInt(20) == 0) {
                    val successor = ShardHarness(settings)
                    successor.now = h.now
                    successor.shard.recover(
                        h.shard.storedJobs(h),
                        leasesEndAt = h.now,
                        h.now,
                    )
                    h = successor
                    knownAt = Long.MIN_VALUE / 2
                    seen = false
                }
                h.now += random.nextLong(10, 400)
                val before = h.starts.size
                for (n in 1..2) h.report(n)
                h.shard.accept(record(listOf(step(2)), id = "%016x".format(next++)), h.now)
                h.settle()
                val isAllowed = !seen && h.now - knownAt <= 1_660
                if (!isAllowed) expectThat(h.starts.size).describedAs("seed $seed step $it").isEqualTo(before)
            }
        }
    }

    private fun JobShard.storedJobs(h: ShardHarness): List<StoredJob> = h.records.map { (id, progress) ->
        StoredJob(record(listOf(step(2)), id), progress, progressRevision = 1, cancelled = phaseOf(id)?.isFinal ?: true)
    }

    private companion object {
        const val RUNS = 1_000
        const val STEPS = 40
    }
}
