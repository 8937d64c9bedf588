package org.camphorhall.scheduler.entry

import kotlinx.coroutines.runBlocking
import org.camphorhall.core.jobs.JobPhase
import org.camphorhall.platform.intake.IntakeResponse
import org.camphorhall.platform.store.StoreTransaction
import org.camphorhall.scheduler.owner.InMemoryTransactionalStore
import org.camphorhall.scheduler.owner.LateWrites
import org.camphorhall.scheduler.support.ShardKeys
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo

/** Cancellations whose write is still under way when the records of their jobs change. */
internal class LateCancellationTest {
    private val keys = ShardKeys(0)
    private val store = LateWrites(InMemoryTransactionalStore())
    private val fixture = IntakeFixture(store)

    @AfterEach
    fun close() = fixture.close()

    private class Case(
        val meanwhile: suspend LateCancellationTest.() -> Unit,
        val isCancellationLeft: Boolean,
        val shown: IntakeResponse,
    )

    private val cases = mapOf(
        "the job exists" to Case({}, true, IntakeResponse.State(JobPhase.Cancelled)),
        "the job was deleted" to Case({ deleteRecords() }, false, IntakeResponse.UnknownJob),
        "the job was deleted and submitted again" to Case(
            {
                deleteRecords()
                fixture.Entry().submit(JOB)
            },
            false,
            IntakeResponse.State(JobPhase.Queued),
        ),
    )

    private suspend fun deleteRecords() {
        store.commit(StoreTransaction(deletes = listOf(keys.job(JOB), keys.cancellation(JOB), keys.progress(JOB))))
    }

    /** Guards against a cancellation that outlives its job, stays in the store and cancels a later one. */
    @Test
    fun `a late cancellation has no effect once its job was deleted`(): Unit = runBlocking {
        for ((name, case) in cases) {
            deleteRecords()
            val entry = fixture.Entry()
            expectThat(entry.submit(JOB)).describedAs(name).isEqualTo(IntakeResponse.Done)
            store.isLate = { t -> t.writes.any { it.key == keys.cancellation(JOB) } }
            expectThat(entry.cancel(JOB)).describedAs(name).isA<IntakeResponse.Unknown>()
            store.isLate = { false }
            case.meanwhile(this@LateCancellationTest)
            store.carryOut()
            val isLeft = store.get(keys.cancellation(JOB)).getOrNull() != null
            expectThat(isLeft).describedAs(name).isEqualTo(case.isCancellationLeft)
            expectThat(fixture.Entry().show(JOB)).describedAs(name).isEqualTo(case.shown)
        }
    }

    private companion object {
        const val JOB = "00000000000000aa"
    }
}
