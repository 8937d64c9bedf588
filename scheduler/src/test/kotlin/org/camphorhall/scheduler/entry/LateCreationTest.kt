package org.camphorhall.scheduler.entry

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.camphorhall.core.jobs.JobClass
import org.camphorhall.core.jobs.JobRecord
import org.camphorhall.core.jobs.JobSpec
import org.camphorhall.core.jobs.StepSpec
import org.camphorhall.core.model.Resources
import org.camphorhall.platform.intake.IntakeResponse
import org.camphorhall.platform.store.StoreTransaction
import org.camphorhall.scheduler.owner.InMemoryTransactionalStore
import org.camphorhall.scheduler.owner.LateWrites
import org.camphorhall.scheduler.owner.Ownership
import org.camphorhall.scheduler.owner.ShardStore
import org.camphorhall.scheduler.support.IntakeFence
import org.camphorhall.scheduler.support.JobRecordStore
import org.camphorhall.scheduler.support.ShardKeys
import org.camphorhall.scheduler.support.SystemClock
import org.camphorhall.scheduler.support.WriteResult
import org.camphorhall.scheduler.support.toFence
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.hasSize
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isLessThan
import strikt.assertions.isTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Jobs whose creation is still under way when their callers are told that there is no such job. */
internal class LateCreationTest {
    private val keys = ShardKeys(0)
    private val memory = InMemoryTransactionalStore()
    private val store = LateWrites(memory)
    private val fixture = IntakeFixture(store)
    private var first = fixture.Entry()
    private var second = fixture.Entry()

    @AfterEach
    fun close() = fixture.close()

    private fun createsJob(t: StoreTransaction): Boolean = t.writes.any { keys.jobIdOf(it.key) != null }

    private class Step(val name: String, val run: suspend LateCreationTest.(job: String) -> Any, val expected: Any)

    private val cancelled = Step("cancelled", { second.cancel(it) }, IntakeResponse.UnknownJob)
    private val repeated = Step("submitted again", { second.submit(it) }, IntakeResponse.Withdrawn)

    private val cases = listOf(
        listOf(cancelled),
        listOf(cancelled, Step("cancelled again", { fixture.Entry().cancel(it) }, IntakeResponse.UnknownJob)),
        listOf(cancelled, repeated),
        listOf(cancelled, Step("submitted to a new process", { fixture.Entry().submit(it) }, IntakeResponse.Withdrawn)),
        listOf(cancelled, Step("another is submitted", { second.submit(OTHER) }, IntakeResponse.Done), repeated),
        listOf(cancelled, repeated, Step("shown", { first.show(it) }, IntakeResponse.UnknownJob)),
        listOf(cancelled, Step("forgotten", { forget(it) }, true)),
        listOf(Step("the records are cleaned up", { forget("other") }, true)),
    )

    private suspend fun forget(job: String): Boolean {
        val ownership = Ownership(memory, keys, "owner", "127.0.0.1:1", SystemClock).also { it.tryAcquire() }
        return ShardStore(memory, keys).advanceFence(setOf(job), ownership.epochRevision)
    }

    /** Guards against a job that runs although its caller was told that it is cancelled or does not exist. */
    @Test
    fun `a late creation has no effect after the job was withdrawn`(): Unit = runBlocking {
        for ((i, steps) in cases.withIndex()) {
            val job = "%016x".format(i)
            val name = steps.joinToString { it.name }
            // Entries whose circuit breakers are closed.
            first = fixture.Entry()
            second = fixture.Entry()
            store.isLate = ::createsJob
            expectThat(first.submit(job)).describedAs(name).isA<IntakeResponse.Unknown>()
            store.isLate = { false }
            for (s in steps) {
                expectThat(s.run(this@LateCreationTest, job)).describedAs("$name: ${s.name}").isEqualTo(s.expected)
            }
            store.carryOut()
            expectThat(fixture.isStored(job)).describedAs(name).isFalse()
        }
    }

    /** Guards against an entry that goes on trying to store a job that was cancelled at another one meanwhile. */
    @Test
    fun `a submission ends when the job is withdrawn at another entry`(): Unit = runBlocking {
        val isDecided = CompletableDeferred<Unit>()
        store.isLate = { createsJob(it) && store.pendingCount == 0 }
        store.before = { if (createsJob(it)) withTimeout(5.seconds) { isDecided.await() } }
        val submission = async { first.submit(JOB) }
        withTimeout(5.seconds) { while (store.pendingCount == 0) delay(1.milliseconds) }
        expectThat(second.cancel(JOB)).isEqualTo(IntakeResponse.UnknownJob)
        isDecided.complete(Unit)
        expectThat(submission.await()).isEqualTo(IntakeResponse.Withdrawn)
        store.carryOut()
        expectThat(fixture.isStored(JOB)).isFalse()
    }

    /** Guards against jobs that are lost because another one was cancelled before it was stored. */
    @Test
    fun `other jobs are accepted by every entry after a withdrawal`(): Unit = runBlocking {
        expectThat(second.cancel(JOB)).isEqualTo(IntakeResponse.UnknownJob)
        for ((i, entry) in listOf(first, second, first, fixture.Entry()).withIndex()) {
            expectThat(entry.submit("%016x".format(i))).isEqualTo(IntakeResponse.Done)
        }
    }

    /** Guards against callers who fill the store by cancelling jobs that never were. */
    @Test
    fun `cancellations of unknown jobs take a bounded part of the store`(): Unit = runBlocking {
        val responses = List(2 * IntakeFence.MAX_WITHDRAWN) { first.cancel("%016x".format(it)) }
        expectThat(responses.take(IntakeFence.MAX_WITHDRAWN).distinct()).containsExactly(IntakeResponse.UnknownJob)
        expectThat(responses.drop(IntakeFence.MAX_WITHDRAWN).all { it is IntakeResponse.Refused }).isTrue()
        expectThat(first.cancel("not a job id")).isEqualTo(IntakeResponse.UnknownJob)
        val entries = checkNotNull(memory.list("").getOrNull()).items
        expectThat(entries).hasSize(1)
        expectThat(entries.single().value.size).isLessThan(MAX_FENCE_BYTES)
        expectThat(first.submit("a".repeat(16))).isEqualTo(IntakeResponse.Done)
    }

    /** Guards against a request that an owner, held up for long, carries out after the withdrawal was forgotten. */
    @Test
    fun `a request to the owner has no effect if its fence is older than a withdrawal`(): Unit = runBlocking {
        val owner = JobRecordStore(store, shards = 1)
        val known = store.get(keys.fence).getOrNull().toFence().revision
        expectThat(second.cancel(JOB)).isEqualTo(IntakeResponse.UnknownJob)
        expectThat(owner.store(record, known)).isEqualTo(WriteResult.Withdrawn)
        // Sent by an entry of an earlier build.
        expectThat(owner.store(record)).isA<WriteResult.Refused>()
        forget(JOB)
        expectThat(owner.store(record, known)).isA<WriteResult.Superseded>()
        expectThat(fixture.isStored(JOB)).isFalse()
        expectThat(owner.store(record)).isEqualTo(WriteResult.Stored)
    }

    private companion object {
        const val JOB = "00000000000000aa"
        const val OTHER = "00000000000000bb"
        const val MAX_FENCE_BYTES = 32_768
        val record = JobRecord(
            JOB,
            JobSpec("payload", listOf(StepSpec(1, Resources(1_000, 100)))),
            JobClass("class", "service", 0, maxAttempts = 2, 1.5, 250, 3_000),
            acceptedAtMillis = 0,
        )
    }
}
