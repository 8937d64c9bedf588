package org.camphorhall.scheduler.agent

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.channels.Channel
import org.camphorhall.core.jobs.TaskRef
import org.camphorhall.platform.worker.StartResult
import org.camphorhall.platform.worker.StartRequest
import org.camphorhall.platform.worker.TaskWorker
import org.camphorhall.platform.worker.WorkerError
import org.camphorhall.platform.worker.WorkerAttempts
import org.camphorhall.platform.worker.WorkerTime
import kotlin.time.Duration

/** A worker whose responses are provided by the test, one at a time. */
internal class ScriptedWorker : TaskWorker {
    /** A pending poll. */
    class Poll(val token: Long, val lastSeenEnd: Long, val leaseUntil: Long?, val wait: Duration) {
        val response = CompletableDeferred<Either<WorkerError, WorkerAttempts>>()
    }

    /** A pending start. */
    class Start(val call: StartRequest) {
        val response = CompletableDeferred<StartResult>()
    }

    val polls = Channel<Poll>(Channel.UNLIMITED)
    val starts = Channel<Start>(Channel.UNLIMITED)
    val healthResponses = Channel<Either<WorkerError, Boolean>>(Channel.UNLIMITED)

    /** Responds to stops; the test may replace it. */
    var onStop: suspend () -> Either<WorkerError, WorkerTime> = { WorkerTime(0).right() }
    val shares = mutableListOf<Pair<TaskRef, Int>>()

    /** Results of the next throttle calls; later ones succeed. */
    val shareErrors = ArrayDeque<WorkerError>()

    /** Whether throttle calls get no response until they are cancelled. */
    var isShareHeld = false

    override suspend fun start(call: StartRequest): StartResult = Start(call).also { starts.send(it) }.response.await()

    override suspend fun stop(task: TaskRef, attempt: Int, token: Long): Either<WorkerError, WorkerTime> = onStop()

    override suspend fun poll(
        token: Long,
        lastSeenEnd: Long,
        leaseUntilMillis: Long?,
        wait: Duration,
    ): Either<WorkerError, WorkerAttempts> =
        Poll(token, lastSeenEnd, leaseUntilMillis, wait).also { polls.send(it) }.response.await()

    override suspend fun throttle(
        task: TaskRef,
        attempt: Int,
        percent: Int,
        token: Long,
    ): Either<WorkerError, WorkerTime> {
        shares += task to percent
        if (isShareHeld) awaitCancellation()
        return shareErrors.removeFirstOrNull()?.left() ?: WorkerTime(0).right()
    }

    override suspend fun isHealthy(path: String): Either<WorkerError, Boolean> = healthResponses.receive()

    override fun close() = Unit
}
