package org.camphorhall.scheduler.entry

import kotlinx.coroutines.runBlocking
import org.camphorhall.scheduler.support.IntakeFence
import org.camphorhall.scheduler.support.StoredFence
import org.camphorhall.scheduler.support.WriteResult
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo

internal class FencedSubmissionTest {
    private class Case(
        val results: List<WriteResult>,
        val expected: WriteResult,
        val fences: List<Long>,
        val isTimely: Boolean = true,
        val isFresh: Boolean = true,
        /** Result of an earlier call of the same submission, on the other path. */
        val earlier: WriteResult? = null,
    )

    private val stored = WriteResult.Stored
    private val unknown = WriteResult.Unknown("no response")

    private fun fence(revision: Long, vararg withdrawn: String) = StoredFence(IntakeFence(withdrawn.toSet()), revision)

    private fun refused(revision: Long, job: String) =
        WriteResult.Superseded(StoredFence(IntakeFence(refused = setOf(job)), revision))

    private fun superseded(revision: Long, vararg withdrawn: String) =
        WriteResult.Superseded(fence(revision, *withdrawn))

    private val cases = mapOf(
        "the fence is unchanged" to Case(listOf(stored), stored, listOf(3)),
        "the fence has changed" to Case(listOf(superseded(5), stored), stored, listOf(3, 5)),
        "the fence changes twice" to Case(listOf(superseded(5), superseded(6), stored), stored, listOf(3, 5, 6)),
        "the job was withdrawn" to Case(listOf(WriteResult.Withdrawn), WriteResult.Withdrawn, listOf(3)),
        "the job was withdrawn before the last try" to Case(
            listOf(superseded(5, JOB)),
            WriteResult.Withdrawn,
            listOf(3),
        ),
        "another job was withdrawn" to Case(listOf(superseded(5, "other"), stored), stored, listOf(3, 5)),
        "the caller returns after a refusal" to Case(listOf(refused(5, JOB), stored), stored, listOf(3, 5)),
        "refused elsewhere while this request waited" to
            Case(listOf(refused(5, JOB)), refused(5, JOB), listOf(3), isFresh = false),
        "refused elsewhere after a try without a response" to
            Case(listOf(refused(5, JOB)), refused(5, JOB), listOf(3, 3), earlier = unknown),
        "another job was refused" to
            Case(listOf(refused(5, "other"), stored), stored, listOf(3, 3, 5), isFresh = false, earlier = unknown),
        "the outcome is unknown" to Case(listOf(unknown), unknown, listOf(3)),
        "the request was held up" to Case(listOf(superseded(5)), superseded(5), listOf(3), isTimely = false),
    )

    /** Guards against a request that was held up, adopts a newer fence and creates a job that was cancelled since. */
    @Test
    fun `a newer fence is adopted while the request is timely`(): Unit = runBlocking {
        for ((name, case) in cases) {
            val cache = FenceCache(shards = 1).also { it.update(0, fence(3)) }
            val results = case.results.iterator()
            val fences = mutableListOf<Long>()
            val submission = FencedSubmission(cache, 0, JOB, { case.isTimely }, { case.isFresh })
            val earlier = case.earlier
            if (earlier != null) {
                submission.write {
                    fences += it
                    earlier
                }
            }
            val result = submission.write {
                fences += it
                results.next()
            }
            expectThat(result).describedAs(name).isEqualTo(case.expected)
            expectThat(fences).describedAs(name).containsExactly(case.fences)
        }
    }

    /** Guards against an entry that repeats each creation because it does not remember the newest fence. */
    @Test
    fun `later requests begin with the newest fence`(): Unit = runBlocking {
        val cache = FenceCache(shards = 2)
        FencedSubmission(cache, 0, JOB, { true }).write { if (it < 7) superseded(7, "other") else stored }
        cache.update(0, fence(4))
        expectThat(listOf(cache[0], cache[1])).containsExactly(fence(7, "other"), fence(0))
    }

    /** Guards against a request that is tried without end while the fence changes all the time. */
    @Test
    fun `a submission ends while the fence keeps changing`(): Unit = runBlocking {
        var calls = 0
        val result = FencedSubmission(FenceCache(1), 0, JOB, { true }).write { superseded(it + 1).also { calls++ } }
        expectThat(result).isEqualTo(superseded(calls.toLong()))
    }

    private companion object {
        const val JOB = "00000000000000aa"
    }
}
