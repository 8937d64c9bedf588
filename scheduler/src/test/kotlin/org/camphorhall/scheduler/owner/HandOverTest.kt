package org.camphorhall.scheduler.owner

import kotlinx.coroutines.runBlocking
import org.camphorhall.core.jobs.Commit
import org.camphorhall.core.jobs.JobClass
import org.camphorhall.core.jobs.JobRecord
import org.camphorhall.core.jobs.JobShard
import org.camphorhall.core.jobs.JobSpec
import org.camphorhall.core.jobs.StepSpec
import org.camphorhall.core.jobs.StoredJob
import org.camphorhall.core.model.Resources
import org.camphorhall.scheduler.support.Clock
import org.camphorhall.scheduler.support.ClockReading
import org.camphorhall.scheduler.support.JobRecordStore
import org.camphorhall.scheduler.support.ShardKeys
import org.camphorhall.scheduler.support.WriteResult
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import strikt.assertions.isTrue

/** Tests an owner that was frozen, and acts again after its ownership has ended or may have. */
internal class HandOverTest {
    private class SettableClock : Clock {
        var steadyMillis = 100_000L
        var wallMillis = 1_000_000L

        override fun steady(): Long = steadyMillis

        override fun wall(): Long = wallMillis
    }

    private val clock = SettableClock()
    private val keys = ShardKeys(0)
    private val store = InMemoryTransactionalStore()
    private val records = ShardStore(store, keys)
    private val frozen = Ownership(store, keys, "frozen", "127.0.0.1:1", clock)
    private val writer = JobRecordStore(store, shards = 1)
    private val job = JobRecord(
        "00000000000000aa",
        JobSpec("payload", listOf(StepSpec(1, Resources(1_000, 100)))),
        JobClass("class", "service", 0, maxAttempts = 2, 1.5, 250, 3_000),
        acceptedAtMillis = 0,
    )

    /** Time that passes while the owner is frozen, as its two clocks show it. */
    private class Pause(val steady: Long, val wall: Long, val mayGrant: Boolean)

    /** Guards against leases that a frozen owner grants once its successor no longer counts them. */
    @Test
    fun `an owner grants no leases after its grace or a suspension until it has proved its epoch`(): Unit =
        runBlocking {
            val grace = Ownership.GRACE_MILLIS
            val pauses = mapOf(
                "within the grace" to Pause(grace - 1, grace - 1, mayGrant = true),
                "as long as the grace" to Pause(grace, grace, mayGrant = false),
                "longer than the grace" to Pause(60_000, 60_000, mayGrant = false),
                "a suspension that stops the steady clock" to Pause(0, 60_000, mayGrant = false),
                "a wall clock set back" to Pause(grace - 1, -60_000, mayGrant = true),
                "a wall clock set back beyond the grace" to Pause(grace, -60_000, mayGrant = false),
            )
            expectThat(frozen.tryAcquire()).isTrue()
            for ((name, pause) in pauses) {
                frozen.recordWrite(ClockReading(clock))
                expectThat(frozen.renew()).isEqualTo(OwnershipState.Held)
                clock.steadyMillis += pause.steady
                clock.wallMillis += pause.wall
                expectThat(frozen.mayGrantLeases).describedAs(name).isEqualTo(pause.mayGrant)
            }
            takeOver()
            expectThat(frozen.renew()).isEqualTo(OwnershipState.Lost)
            expectThat(frozen.mayGrantLeases).describedAs("after the take-over").isFalse()
        }

    /** Guards against records, and so commands and acknowledgements, of an owner that was replaced while frozen. */
    @Test
    fun `an owner changes no record after it was replaced`(): Unit = runBlocking {
        expectThat(frozen.tryAcquire()).isTrue()
        writer.store(job)
        val loaded = checkNotNull(records.load().getOrNull()).jobs
        val commit = cancelling(loaded)
        takeOver()
        expectThat(records.write(commit, frozen.epochRevision)).isNull()
        val revisions = loaded.associate { it.record.id to it.recordRevision }
        expectThat(records.delete(revisions, frozen.epochRevision)).isFalse()
        expectThat(records.advanceFence(emptySet(), frozen.epochRevision)).isFalse()
        val stored = checkNotNull(records.load().getOrNull()).jobs.single()
        expectThat(stored.record.id).isEqualTo(job.id)
        expectThat(stored.progress).isNull()
    }

    /** Guards against a cancellation that is acknowledged by a former owner and never reaches the present one. */
    @Test
    fun `a cancellation stored by a former owner is seen by its successor`(): Unit = runBlocking {
        expectThat(frozen.tryAcquire()).isTrue()
        writer.store(job)
        takeOver()
        val loaded = expectThat(records.load().getOrNull()).isNotNull().subject
        expectThat(writer.storeCancellation(job.id)).isEqualTo(WriteResult.Stored)
        val change = expectThat(records.awaitInboxChange(loaded.revision).getOrNull()).isNotNull().subject
        expectThat(change.cancelled).containsExactly(job.id)
    }

    private suspend fun takeOver() {
        expireLease()
        expectThat(Ownership(store, keys, "next", "127.0.0.1:2", clock).tryAcquire()).isTrue()
    }

    /** Ends the store lease of the frozen owner, which does not notice it. */
    private suspend fun expireLease() {
        val owner = checkNotNull(store.get(keys.owner).getOrNull())
        expectThat(frozen.epoch).isEqualTo(decodeOwner(owner.value).getOrNull()?.epoch)
        store.delete(keys.owner, owner.version)
    }

    /** The commit of an owner that has loaded [jobs] and cancels the job. */
    private fun cancelling(jobs: List<StoredJob>): Commit = JobShard().let { shard ->
        shard.recover(jobs, leasesEndAt = 0, now = 0)
        shard.cancel(job.id, now = 0)
        checkNotNull(shard.nextCommit())
    }
}
