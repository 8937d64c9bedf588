package org.camphorhall.scheduler.agent

import arrow.core.Either
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runCurrent
import kotlinx.coroutines.test.runTest
import org.camphorhall.platform.worker.StartResult
import org.camphorhall.platform.worker.WorkerError
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNull

/** Tests the link to a worker that may have restarted under its id. */
@OptIn(ExperimentalCoroutinesApi::class)
internal class WorkerLinkRestartTest {
    private val worker = ScriptedWorker()

    private suspend fun TestScope.linkWithLease(): WorkerLink = linkWithLease(worker)

    /** Guards against a restarted worker that forgets its ends because a call names numbers from before. */
    @Test
    fun `a worker that may have restarted is told no end number and no start until its lists are read`() = runTest {
        val errors = listOf(
            WorkerError.Unknown("lost"),
            WorkerError.Refused("connection refused"),
            WorkerError.Failed("status 500"),
        )
        for (error in errors) {
            val link = linkWithLease()
            link.recordStored(7)
            val run = launch { link.run() }
            runCurrent()
            val poll = worker.polls.receive()
            expectThat(poll.lastSeenEnd).describedAs("before $error").isEqualTo(7)
            poll.response.complete(Either.Left(error))
            runCurrent()
            val command = launch { link.execute(startCommand(1)) }
            runCurrent()
            expectThat(worker.starts.tryReceive().isSuccess).describedAs("start after $error").isFalse()
            val check = worker.polls.receive()
            expectThat(check.lastSeenEnd).describedAs("after $error").isEqualTo(0)
            check.respond(lists(1_500))
            runCurrent()
            worker.starts.receive().response.complete(StartResult.Started)
            command.join()
            testScheduler.advanceTimeBy(500)
            expectThat(worker.polls.receive().lastSeenEnd).describedAs("after the lists").isEqualTo(7)
            run.cancel()
            runCurrent()
            while (worker.polls.tryReceive().isSuccess) Unit
        }
    }

    /** Guards against attempts that are given up although the next incarnation of their worker runs them. */
    @Test
    fun `a worker restarted under its id is neither usable nor terminated, and gets no lease from before`() =
        runTest {
            val link = linkWithLease()
            val run = launch { link.run() }
            runCurrent()
            worker.polls.receive().response.complete(Either.Left(WorkerError.Restarted))
            runCurrent()
            val report = link.report(isFenced = true)
            expectThat(report.reachable).isFalse()
            expectThat(report.terminated).isFalse()
            testScheduler.advanceTimeBy(500)
            expectThat(worker.polls.receive().leaseUntil).isNull()
            run.cancel()
        }
}
