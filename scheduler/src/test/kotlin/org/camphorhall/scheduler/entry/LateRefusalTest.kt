package org.camphorhall.scheduler.entry

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.camphorhall.core.jobs.DueWork
import org.camphorhall.core.jobs.ShardLoad
import org.camphorhall.platform.intake.IntakeResponse
import org.camphorhall.platform.store.StoreTransaction
import org.camphorhall.scheduler.owner.InMemoryTransactionalStore
import org.camphorhall.scheduler.owner.LateWrites
import org.camphorhall.scheduler.support.IntakeFence
import org.camphorhall.scheduler.support.JobRecordStore
import org.camphorhall.scheduler.support.JobRefusals
import org.camphorhall.scheduler.support.ShardKeys
import org.camphorhall.scheduler.support.toFence
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isLessThan
import strikt.assertions.isTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Jobs that one entry refuses for lack of room while an earlier request for them is under way. */
internal class LateRefusalTest {
    private val keys = ShardKeys(0)
    private val memory = InMemoryTransactionalStore()
    private val store = LateWrites(memory)
    private val fixture = IntakeFixture(store)
    private val first = fixture.Entry()
    private val backlog = DueWork(0, isBackfill = false, withinMillis = 1, work = 1e9)

    /** An entry that has just been told of the backlog; such a load counts for a second. */
    private val full: IntakeFixture.Entry
        get() = fixture.Entry(listOf(ShardLoad("service", 10_000, 10_000, listOf(backlog))))

    @AfterEach
    fun close() = fixture.close()

    private fun createsJob(t: StoreTransaction): Boolean = t.writes.any { keys.jobIdOf(it.key) != null }

    /** Guards against a job that runs although its caller, who repeated it at another entry, was told that it won't. */
    @Test
    fun `a late creation has no effect after the job was refused`(): Unit = runBlocking {
        store.isLate = ::createsJob
        expectThat(first.submit(JOB)).isA<IntakeResponse.Unknown>()
        store.isLate = { false }
        expectThat(full.submit(JOB)).isA<IntakeResponse.Overloaded>()
        store.carryOut()
        expectThat(fixture.isStored(JOB)).isFalse()
    }

    /** Guards against an entry that goes on trying to store a job that another one has refused meanwhile. */
    @Test
    fun `a submission ends when the job is refused at another entry`(): Unit = runBlocking {
        val isDecided = CompletableDeferred<Unit>()
        store.isLate = { createsJob(it) && store.pendingCount == 0 }
        store.before = { if (createsJob(it)) withTimeout(5.seconds) { isDecided.await() } }
        val submission = async { first.submit(JOB) }
        withTimeout(5.seconds) { while (store.pendingCount == 0) delay(1.milliseconds) }
        expectThat(full.submit(JOB)).isA<IntakeResponse.Overloaded>()
        isDecided.complete(Unit)
        expectThat(submission.await()).isA<IntakeResponse.Refused>()
        store.carryOut()
        expectThat(fixture.isStored(JOB)).isFalse()
    }

    private class Case(
        val before: suspend LateRefusalTest.() -> Unit,
        val entry: LateRefusalTest.() -> IntakeFixture.Entry,
    )

    private val accepted = mapOf(
        "the caller returns to the same entry when there is room" to
            Case({ first.submit("00000000000000bb").also { full.submit(JOB) } }, { first }),
        "the caller returns to an entry that knows nothing" to Case({ full.submit(JOB) }, { fixture.Entry() }),
        "another job was refused" to Case({ full.submit("00000000000000bb") }, { first }),
        "the job is stored" to Case({ first.submit(JOB) }, { full }),
        "the refusal cannot be confirmed" to
            Case({ store.isLate = { t -> t.writes.any { it.key == keys.fence } } }, { full }),
    )

    /** Guards against callers who are turned away although there is room, or although their job was accepted. */
    @Test
    fun `a job is accepted by an entry that does not refuse it`(): Unit = runBlocking {
        for ((name, case) in accepted) {
            case.before(this@LateRefusalTest)
            expectThat(case.entry(this@LateRefusalTest).submit(JOB)).describedAs(name).isEqualTo(IntakeResponse.Done)
            expectThat(fixture.isStored(JOB)).describedAs(name).isTrue()
            store.isLate = { false }
            store.commit(StoreTransaction(deletes = listOf(keys.job(JOB))))
        }
    }

    /** Guards against a burst of refusals that takes the writes of the store from the jobs that were accepted. */
    @Test
    fun `refusals that wait for the store share its writes`(): Unit = runBlocking {
        var writes = 0
        store.before = { t ->
            if (t.writes.any { it.key == keys.fence }) writes++
            delay(STORE_MILLIS.milliseconds)
        }
        val refusals = JobRefusals(store, JobRecordStore(store, shards = 1), shards = 1)
        val ids = List(REFUSALS) { "%016x".format(it) }
        val areAbsent = ids.map { async { refusals.confirmAbsent(it) } }.awaitAll()
        expectThat(areAbsent.all { it }).isTrue()
        expectThat(writes).isLessThan(REFUSALS / 10)
        val fence = store.get(keys.fence).getOrNull().toFence().fence
        expectThat(fence.refused).hasSize(IntakeFence.MAX_REFUSED)
        expectThat(ids.last() in fence.refused).isTrue()
    }

    private companion object {
        const val JOB = "00000000000000aa"
        const val REFUSALS = 300
        const val STORE_MILLIS = 4L
    }
}
