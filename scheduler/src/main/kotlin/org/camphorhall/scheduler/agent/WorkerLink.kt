package org.camphorhall.scheduler.agent

import arrow.core.Either
import io.github.oshai.kotlinlogging.KotlinLogging
import io.github.oshai.kotlinlogging.Level
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import org.camphorhall.core.jobs.Interference
import org.camphorhall.core.jobs.RejectedStart
import org.camphorhall.core.jobs.StartedAttempt
import org.camphorhall.core.jobs.TaskProfile
import org.camphorhall.core.jobs.TaskRef
import org.camphorhall.core.jobs.WorkerCommand
import org.camphorhall.core.jobs.WorkerLease
import org.camphorhall.core.jobs.WorkerProfile
import org.camphorhall.core.jobs.WorkerReport
import org.camphorhall.platform.worker.StartResult
import org.camphorhall.platform.worker.StartRequest
import org.camphorhall.platform.worker.TaskWorker
import org.camphorhall.platform.worker.WorkerError
import org.camphorhall.platform.worker.WorkerAttempts
import org.camphorhall.process.event
import org.camphorhall.scheduler.support.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private val logger = KotlinLogging.logger {}

/**
 * Connection to one incarnation of the worker: extends its lease, executes commands and tracks its attempts.
 * [tokens] must be greater than any fencing token that an earlier agent or link used on the worker. [maxLeaseMillis] is
 * the longest lease that the worker takes. [onStop] gets the outcome of each stop and of each failed try.
 */
internal class WorkerLink(
    profile: WorkerProfile,
    private val worker: TaskWorker,
    private val tokens: FencingTokens,
    private val clock: Clock,
    maxLeaseMillis: Long = SchedulerAgentOptions.DEFAULT_MAX_LEASE_MILLIS,
    onStop: (StopOutcome) -> Unit = {},
) {
    /** Profile from the latest heartbeat. */
    @Volatile
    var profile: WorkerProfile = profile

    /** Signals that a report to the owner is due at once. */
    val updates = Channel<Unit>(Channel.CONFLATED)

    val health = HealthProbe(worker::isHealthy) { updates.trySend(Unit) }
    private val lock = Mutex()

    /**
     * Starts at the maximum, because an earlier agent may have extended the lease just before it terminated, or a call
     * meant for an earlier incarnation with the same id, whose clock was ahead.
     */
    private val lease = WorkerLease(sentUntil = clock.steady() + maxLeaseMillis)
    private val backfill = BackfillController()
    private val commands = CommandTracker()
    private val retryDelay = RetryDelay()
    private var token = tokens.next()

    /** Fencing token of the latest [fence]; it orders the connections, also those of an earlier agent. */
    private var connection = token

    /** Number of the connection for which lists were read with its fencing token. */
    private var fencedConnection = 0L
    private val attempts = ListedAttempts()
    private val rejections = RecentRejections()
    private var lastResponseAt = 0L

    /** Whether the last call found no usable worker: the connection was refused, or another incarnation responded. */
    private var isRefused = false

    /** Whether another incarnation with another id has responded, so that this one has ended. */
    private var isReplaced = false

    private val restartCheck = RestartCheck()
    private val unconfirmedStarts = UnconfirmedStarts()

    private val reported = ReportedReachability()
    private val shares = BackfillShares(worker, backfill, lock, clock)
    private val stops =
        StopCalls(worker, profile.key, retryDelay, clock, onStop) { lock.withLock { token } }
    private val endStored = Channel<Unit>(Channel.CONFLATED)

    /** Extends the lease and polls the lists until cancelled. */
    suspend fun run() {
        while (true) {
            // While an end is not acknowledged, the worker responds to polls at once.
            val hasUnstored = lock.withLock {
                attempts.unstoredEnds.isNotEmpty() || attempts.ended.isNotEmpty() && !mayAcknowledge()
            }
            if (hasUnstored) withTimeoutOrNull(STORE_ACK_WAIT) { endStored.receive() }
            val wasFenced = isFenced()
            val error = poll(if (hasUnstored || !isConfirmed()) Duration.ZERO else pollWait())
            if (!wasFenced && isFenced()) updates.trySend(Unit)
            if (error != null) {
                delay(retryDelay.current)
            } else {
                adjustShares()
                shares.logSummary(profile, attempts)
            }
        }
    }

    /** Polls each new measurement of the worker while backfill tasks run beside serving tasks. */
    private suspend fun pollWait(): Duration = lock.withLock {
        if (backfill.isColocated(attempts.running)) COLOCATED_POLL_WAIT else POLL_WAIT
    }

    /** Records a lease of [leaseMillis] that the owner granted from [from] on the agent's steady clock. */
    suspend fun grantLease(from: Long, leaseMillis: Long): Unit = lock.withLock { lease.grant(from, leaseMillis) }

    /** Records that all attempt ends up to [number] are stored. */
    suspend fun recordStored(number: Long) {
        lock.withLock { attempts.recordStored(number) }
        endStored.trySend(Unit)
    }

    /** Adds profiles of tasks that an earlier agent started. */
    suspend fun addProfiles(profiles: Map<TaskRef, TaskProfile>): Unit =
        lock.withLock { backfill.addProfiles(profiles) }

    /** Applies interference weights of image pairs from the owner. */
    suspend fun updateInterference(changes: List<Interference>): Unit =
        lock.withLock { backfill.updateInterference(changes) }

    /**
     * Raises the fencing token, so that the worker executes no start sent earlier, and reads the lists. Discards the
     * commands of the previous connection. Called once for each connection. Returns false if the poll fails; any later
     * poll then fences the worker.
     */
    suspend fun fence(): Boolean {
        lock.withLock {
            token = tokens.next()
            connection = token
            commands.reset()
            attempts.resetCommands()
        }
        poll(Duration.ZERO)
        return isFenced()
    }

    /** Whether the worker has been fenced and its lists were read for the current connection. */
    suspend fun isFenced(): Boolean = lock.withLock { fencedConnection == connection }

    private suspend fun isConfirmed(): Boolean = lock.withLock { restartCheck.isConfirmed }

    /** Executes [command] of the owner with [epoch]. */
    suspend fun execute(command: WorkerCommand, epoch: Long) {
        when (command) {
            is WorkerCommand.Start -> start(command)
            is WorkerCommand.Stop -> stops.execute(command, epoch)
        }
        lock.withLock { commands.recordCompleted(command.number) }
        // The lists read after the stop report its result to the owner.
        if (command is WorkerCommand.Stop) poll(Duration.ZERO)
    }

    /**
     * Report for the owner. It has the running attempts only if it [isComplete]. The owner assumes that the lease of an
     * unreachable worker ends as reported, so the agent gives up all grants beyond that.
     */
    suspend fun report(isFenced: Boolean, isComplete: Boolean = true): WorkerReport = lock.withLock {
        val now = clock.steady()
        val isReachable = isFenced && !isRefused && !isReplaced && now - lastResponseAt < UNREACHABLE_MILLIS
        reported.record(isReachable)
        if (!isReachable) lease.renounce(now)
        WorkerReport(
            profile = profile,
            running = if (isComplete) backfill.withShares(attempts.running) else emptyList(),
            isComplete = isComplete,
            ended = attempts.unstoredEnds,
            hasMoreEnds = attempts.hasMoreEnds,
            rejected = rejections.current(now),
            lastCompletedCommand = attempts.lastCommand,
            reachable = isReachable,
            terminated = isReplaced,
            healthy = health.isHealthy,
            listedAtMillis = attempts.listedAt,
            remainingLeaseMillis = lease.remaining(now),
            // The first fenced lists settle the starts of an earlier agent.
            unconfirmedStarts = if (fencedConnection == 0L) null else unconfirmedStarts.current,
            connection = connection,
        )
    }

    /** Extends the lease as far as the owner has granted it; called before the agent stops. */
    suspend fun extendLease() {
        poll(Duration.ZERO)
    }

    fun close(): Unit = worker.close()

    private suspend fun poll(wait: Duration): WorkerError? {
        val call = lock.withLock {
            // The lease ends on the clock of this incarnation, which means nothing to a restarted worker.
            val until = if (isRefused) null else lease.send(clock.steady())
            PollRequest(
                token,
                lastStoredEnd = if (mayAcknowledge()) attempts.lastStoredEnd else 0,
                until,
                commands.connectionNumber,
                commands.lastCompleted,
                clock.steady(),
                restartCheck.failedCalls,
                unconfirmedStarts.settledByLists(token),
            )
        }
        return when (val r = worker.poll(call.token, call.lastStoredEnd, call.until, wait)) {
            is Either.Right -> null.also { applyLists(r.value, call) }
            is Either.Left -> r.value.also { recordError(it) }
        }
    }

    /** Whether the worker may forget ends. Another incarnation would forget those of starts that it has executed. */
    private fun mayAcknowledge(): Boolean = restartCheck.isConfirmed && !unconfirmedStarts.hasPending

    private suspend fun applyLists(lists: WorkerAttempts, call: PollRequest) {
        val now = clock.steady()
        val hasNewEnd = lock.withLock {
            if (lastResponseAt != 0L && now - lastResponseAt >= UNREACHABLE_MILLIS) {
                logger.event(Level.INFO, "worker responds again", "silentMillis" to now - lastResponseAt)
            }
            lastResponseAt = now
            if (isRefused) updates.trySend(Unit)
            isRefused = false
            restartCheck.recordLists(call.failedCalls)
            unconfirmedStarts.settle(call.settledStarts)
            retryDelay.reset()
            if (call.token >= connection) fencedConnection = connection
            val lastCommand = if (call.connectionNumber == commands.connectionNumber) call.lastCompletedCommand else 0
            val update = attempts.update(lists, lastCommand) ?: return@withLock false
            lease.recordClock(lists.time.millis, now)
            if (update.hasNewFailure) health.checkSoon()
            backfill.removeEnded(lists.running, commands.startingTasks, call.sentAt)
            update.hasNewEnd
        }
        // Only new ends are urgent for the owner; other changes are in the next regular report.
        if (hasNewEnd) updates.trySend(Unit)
    }

    private suspend fun recordError(error: WorkerError) {
        retryDelay.recordFailure()
        val (leaseMillis, isUrgent) = lock.withLock {
            val wasRefused = isRefused
            val wasReplaced = isReplaced
            restartCheck.recordFailedCall()
            when (error) {
                is WorkerError.Refused, WorkerError.Restarted -> isRefused = true
                WorkerError.OtherLife -> {
                    isRefused = true
                    isReplaced = true
                }
                WorkerError.Fenced -> token = tokens.next(TOKEN_STEP)
                else -> Unit
            }
            lease.remaining(clock.steady()) to (isRefused != wasRefused || isReplaced != wasReplaced)
        }
        logger.event(
            Level.WARN,
            "worker not responding",
            "worker" to profile.key,
            "reason" to error,
            "leaseMillis" to leaseMillis,
        )
        if (isUrgent) updates.trySend(Unit)
    }

    private suspend fun start(command: WorkerCommand.Start) {
        val (earlierReports, isCheckDue) = lock.withLock {
            reported.current to (!restartCheck.isConfirmed && lease.endOnWorkerClock(clock.steady()) != null)
        }
        if (isCheckDue) poll(Duration.ZERO)
        val attempt = StartedAttempt(command.task, command.attempt)
        val (call, sentAt) = lock.withLock {
            val now = clock.steady()
            val isAllowed = !profile.draining && restartCheck.isConfirmed && reported.isUnchangedSince(earlierReports)
            val until = if (isAllowed) lease.send(now) else null
            if (until != null) {
                commands.startingTasks += command.task
                backfill.recordStarting(command)
                unconfirmedStarts.recordSent(attempt, token)
            }
            until?.let {
                StartRequest(command.task, command.attempt, command.payload, command.checkpoint, it, token)
            } to now
        }
        if (call == null) {
            reject(command, if (profile.draining) "worker drains" else "no lease")
            return
        }
        var isStarted = false
        try {
            // The link to the next incarnation relies on greater tokens than those of this one.
            currentCoroutineContext().ensureActive()
            val result = worker.start(call)
            checkIncarnation(attempt, result, sentAt)
            when (result) {
                is StartResult.Started, StartResult.Restarted -> isStarted = true
                is StartResult.Refused -> reject(command, result.reason)
                is StartResult.Unhealthy -> reject(command, result.reason, isUnhealthy = true)
                StartResult.Fenced -> reject(command, "fenced")
                is StartResult.Unknown -> resolveStart(command, result.detail)
            }
        } finally {
            withContext(NonCancellable) {
                lock.withLock {
                    commands.startingTasks -= command.task
                    backfill.recordStartResponse(command, clock.steady())
                    unconfirmedStarts.recordEnded(attempt)
                }
            }
        }
        // Without an initial share the task would run at full speed until the next measurement.
        if (isStarted && command.profile.backfill) adjustShares()
    }

    /** Checks which incarnation has responded to the start of [attempt], which was sent at [sentAt]. */
    private suspend fun checkIncarnation(attempt: StartedAttempt, result: StartResult, sentAt: Long) {
        val isSuspect = lock.withLock {
            val isSuspect = unconfirmedStarts.recordResult(attempt, result) { time ->
                lease.isSameClock(time.millis, sentAt, clock.steady())
            }
            if (isSuspect) restartCheck.recordFailedCall()
            isSuspect
        }
        if (!isSuspect) return
        logger.event(Level.WARN, "start executed by an unknown incarnation", "worker" to profile.key, "task" to attempt)
        if (result == StartResult.Restarted) recordError(WorkerError.Restarted) else poll(Duration.ZERO)
    }

    private suspend fun adjustShares(): Unit = shares.adjust(profile, attempts) { token }

    /**
     * Determines the result of a start without a response. The worker may execute the start until it has a greater
     * token; lists read after that show whether the attempt exists, unless there are more ends than they hold.
     */
    private suspend fun resolveStart(command: WorkerCommand.Start, detail: String) {
        logger.event(
            Level.WARN,
            "no response to start request",
            "task" to command.task,
            "attempt" to command.attempt,
            "reason" to detail,
        )
        val requiredToken = lock.withLock {
            restartCheck.recordFailedCall()
            token = tokens.next()
            token
        }
        var isListed: Boolean? = null
        while (isListed == null) {
            val error = poll(Duration.ZERO)
            isListed = lock.withLock {
                if (error != null || token < requiredToken) null else attempts.find(command.task, command.attempt)
            }
            if (isListed == null) delay(if (error == null) STORE_ACK_WAIT else retryDelay.current)
        }
        if (!isListed) reject(command, "no answer, and fenced since")
    }

    private suspend fun reject(command: WorkerCommand.Start, reason: String, isUnhealthy: Boolean = false) {
        logger.event(
            Level.INFO,
            "start refused",
            "task" to command.task,
            "attempt" to command.attempt,
            "reason" to reason,
        )
        val rejection = RejectedStart(command.task, command.attempt, reason, isUnhealthy)
        lock.withLock { rejections.add(rejection, clock.steady()) }
        updates.trySend(Unit)
    }

    private companion object {

        /** Long-poll time: the worker responds after it if no attempt ends. Each poll also extends the lease. */
        val POLL_WAIT = 800.milliseconds

        /** Period of the worker's measurements. */
        val COLOCATED_POLL_WAIT = 500.milliseconds

        /** Maximum wait for the owner to store an end before the next poll. */
        val STORE_ACK_WAIT = 150.milliseconds

        /** Silence after which the worker is unreachable: a poll waits 0.8 s and times out 0.8 s later. */
        const val UNREACHABLE_MILLIS = 1_700L

        /** Token increment after a fenced call; exceeds the increments by concurrent starts. */
        const val TOKEN_STEP = 16L
    }
}
