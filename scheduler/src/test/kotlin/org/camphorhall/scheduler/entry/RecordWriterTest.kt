package org.camphorhall.scheduler.entry

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runCurrent
import kotlinx.coroutines.test.runTest
import org.camphorhall.scheduler.support.Clock
import org.camphorhall.scheduler.support.StoredFence
import org.camphorhall.scheduler.support.WriteResult
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isLessThanOrEqualTo

@OptIn(ExperimentalCoroutinesApi::class)
internal class RecordWriterTest {
    private val rejected = WriteResult.Refused("status 503")
    private val unknown = WriteResult.Unknown("no answer")
    private val limit = WriteResult.LimitReached("limit")

    private class Case(
        val direct: List<WriteResult>,
        val throughOwner: List<WriteResult>,
        val expected: WriteResult,
        val calls: Int,
    )

    private val cases = mapOf(
        "the store responds" to Case(listOf(WriteResult.Stored), emptyList(), WriteResult.Stored, calls = 1),
        "a job that does not exist" to Case(
            listOf(WriteResult.NoSuchJob),
            emptyList(),
            WriteResult.NoSuchJob,
            calls = 1,
        ),
        "a job that was withdrawn, after a try without a response" to Case(
            listOf(unknown, WriteResult.Withdrawn),
            listOf(rejected),
            WriteResult.Withdrawn,
            calls = 3,
        ),
        "a fence that was superseded, after a try without a response" to Case(
            listOf(unknown),
            listOf(WriteResult.Superseded(StoredFence(revision = 9))),
            WriteResult.Superseded(StoredFence(revision = 9)),
            calls = 2,
        ),
        "a limit" to Case(listOf(limit), emptyList(), limit, calls = 1),
        "a limit, after a try without a response" to Case(
            listOf(unknown, limit),
            listOf(rejected),
            WriteResult.Unknown("limit"),
            calls = 3,
        ),
        "the store rejects the direct write" to Case(
            listOf(rejected),
            listOf(WriteResult.Stored),
            WriteResult.Stored,
            calls = 2,
        ),
        "the store does not respond to the direct write" to Case(
            listOf(unknown),
            listOf(WriteResult.Stored),
            WriteResult.Stored,
            calls = 2,
        ),
        "the store rejects both writes" to Case(listOf(rejected), listOf(rejected), rejected, calls = 2),
        "a write whose outcome is unknown is retried" to Case(
            listOf(unknown, WriteResult.Stored),
            listOf(rejected),
            WriteResult.Stored,
            calls = 3,
        ),
    )

    /** Guards against rejecting a job that may be stored, and against not using a path that could have stored it. */
    @Test
    fun `a record is written directly or through the owner`() = runTest {
        for ((name, case) in cases) {
            var calls = 0
            val direct = case.direct.iterator()
            val throughOwner = case.throughOwner.iterator()
            val result = RecordWriter(clock()).write(
                deadline = currentTime + 1_000,
                direct = { direct.next().also { calls++ } },
                throughOwner = { throughOwner.next().also { calls++ } },
            )
            expectThat(result).describedAs(name).isEqualTo(case.expected)
            expectThat(calls).describedAs("calls, $name").isEqualTo(case.calls)
        }
    }

    /** Guards against a response that says 'not run' while the write may still be committed. */
    @Test
    fun `a write whose outcome stays unknown is not rejected`() = runTest {
        val result =
            RecordWriter(clock()).write(currentTime + 1_000, direct = { unknown }, throughOwner = { rejected })
        expectThat(result).isA<WriteResult.Unknown>()
    }

    /** Guards against callers that each wait for a timeout while the store is known not to respond. */
    @Test
    fun `while the store does not respond most writes go through the owner at once`() = runTest {
        val writer = RecordWriter(clock())
        val direct: suspend () -> WriteResult = {
            delay(800)
            unknown
        }
        repeat(2) { writer.write(currentTime + 1_000, direct) { WriteResult.Stored } }
        val from = currentTime
        repeat(10) {
            val result = writer.write(currentTime + 1_000, direct) { WriteResult.Stored }
            expectThat(result).isEqualTo(WriteResult.Stored)
        }
        expectThat(currentTime - from).isLessThan(1_000)
    }

    private class DeadlineCase(val directMillis: Long, val expected: WriteResult, val ownerCalls: Int)

    private val deadlineCases = mapOf(
        "the owner does not respond in time" to DeadlineCase(0, unknown, 1),
        "no time remains for the owner" to DeadlineCase(400, rejected, 0),
    )

    /** Guards against callers that wait past their deadline while the owner does not respond. */
    @Test
    fun `a write through the owner ends at the caller's deadline`() = runTest {
        for ((name, case) in deadlineCases) {
            var ownerCalls = 0
            val from = currentTime
            val result = RecordWriter(clock()).write(
                deadline = from + 300,
                direct = {
                    delay(case.directMillis)
                    rejected
                },
                throughOwner = {
                    ownerCalls++
                    delay(900)
                    WriteResult.Stored
                },
            )
            expectThat(result::class).describedAs(name).isEqualTo(case.expected::class)
            expectThat(ownerCalls).describedAs("calls to the owner, $name").isEqualTo(case.ownerCalls)
            expectThat(currentTime - from).describedAs("time, $name").isLessThanOrEqualTo(maxOf(300, case.directMillis))
        }
    }

    /** Guards against giving up a write that its caller may not repeat although the store returns in time. */
    @Test
    fun `a write whose outcome is unknown is retried until the store responds`() = runTest {
        val returnsAt = currentTime + 2_300
        val store: suspend () -> WriteResult = {
            if (currentTime < returnsAt) delay(800)
            if (currentTime < returnsAt) unknown else WriteResult.Stored
        }
        val result = RecordWriter(clock()).write(currentTime + 2_900, store) { store() }
        expectThat(result).isEqualTo(WriteResult.Stored)
    }

    /** Guards against callers that wait for a response although both paths are known not to respond. */
    @Test
    fun `while neither path responds new writes are rejected at once`() = runTest {
        val writer = RecordWriter(clock())
        val silent: suspend () -> WriteResult = {
            delay(800)
            unknown
        }
        repeat(2) { writer.write(currentTime + 1_700, silent) { silent() } }
        // One write after each interval of the breakers finds out whether a path works again.
        val probe = launch { writer.write(currentTime + 1_700, silent) { silent() } }
        runCurrent()
        val from = currentTime
        repeat(10) { expectThat(writer.write(from + 2_900, silent) { silent() }).isA<WriteResult.Refused>() }
        expectThat(currentTime - from).isEqualTo(0)
        probe.cancel()
    }

    private fun kotlinx.coroutines.test.TestScope.clock() = object : Clock {
        override fun steady(): Long = currentTime

        override fun wall(): Long = currentTime
    }
}
