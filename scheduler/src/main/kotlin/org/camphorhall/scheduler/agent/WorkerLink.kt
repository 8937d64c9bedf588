package org.camphorhall.scheduler.agent

import arrow.core.Either
import io.github.oshai.kotlinlogging.KotlinLogging
import io.github.oshai.kotlinlogging.Level
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import org.camphorhall.core.jobs.AttemptEnd
import org.camphorhall.core.jobs.EndCause
import org.camphorhall.core.jobs.Interference
import org.camphorhall.core.jobs.RejectedStart
import org.camphorhall.core.jobs.RunningAttempt
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
 * The connection to one life of the worker beside the agent: keeps its lease, carries out orders and knows what it
 * runs. [firstToken] must be greater than any token that an earlier agent used on the worker.
 */
internal class WorkerLink(
    profile: WorkerProfile,
    private val worker: TaskWorker,
    firstToken: Long,
    private val clock: Clock,
) {
    /** What the worker last said of itself. */
    @Volatile
    var profile: WorkerProfile = profile

    /** Gets an element when there is news for the owner. */
    val news = Channel<Unit>(Channel.CONFLATED)

    val health = HealthProbe(worker::isHealthy) { news.trySend(Unit) }
    private val lock = Mutex()
    private val lease = WorkerLease()
    private val balance = BackfillBalance()
    private val orders = OrderLedger()
    private var token = firstToken
    private var running = emptyList<RunningAttempt>()
    private var ended = emptyList<AttemptEnd>()
    private var refused = emptyList<Pair<Long, RejectedStart>>()
    private var endsStored = 0L
    private var newestEnd = 0L
    private var listedOrders = 0L

    /** Time of the present lists on the worker's clock. */
    private var listedAt = 0L
    private var answeredAt = 0L

    /** An earlier agent may have extended the lease just before it ended. */
    private var leaseSentUntil = clock.steady() + LONGEST_LEASE_MILLIS
    private var portClosed = 0
    private var summarizedAt = 0L
    private val stored = Channel<Unit>(Channel.CONFLATED)

    /** Keeps the lease and the lists up to date until the worker's life ends. */
    suspend fun run() {
        while (true) {
            // Ends that are not stored yet are listed by every answer at once.
            val hasUnstored = lock.withLock { ended.any { it.number > endsStored } }
            if (hasUnstored) withTimeoutOrNull(STORE_WAIT) { stored.receive() }
            val error = look(if (hasUnstored) Duration.ZERO else lookWait())
            if (error != null) {
                delay(RETRY)
            } else {
                balance()
                summarize()
            }
        }
    }

    /** Figures are needed as often as the worker makes them, where backfill tasks run beside serving tasks. */
    private suspend fun lookWait(): Duration = lock.withLock {
        if (balance.isShared(running)) SHARED_LOOK_WAIT else LOOK_WAIT
    }

    /** Takes a lease that the owner granted. */
    suspend fun grant(from: Long, leaseMillis: Long): Unit = lock.withLock { lease.grant(from, leaseMillis) }

    /** Takes the news that all ends up to [number] are stored. */
    suspend fun noteStored(number: Long) {
        lock.withLock { endsStored = maxOf(endsStored, number) }
        stored.trySend(Unit)
    }

    /** Takes traits of tasks that an earlier agent started. */
    suspend fun learn(known: Map<TaskRef, TaskProfile>): Unit = lock.withLock { balance.learn(known) }

    /** Takes what the owner has learned of pairs of images. */
    suspend fun learnDisturbances(known: List<Interference>): Unit = lock.withLock { balance.learnDisturbances(known) }

    /**
     * Makes sure that no start sent so far is carried out later, and reads the lists. Orders of an earlier connection
     * are forgotten. Returns false if the worker does not answer.
     */
    suspend fun fence(): Boolean {
        lock.withLock {
            token++
            orders.reset()
            listedOrders = 0
        }
        return look(Duration.ZERO) == null
    }

    /** Carries out [order]. */
    suspend fun execute(order: WorkerCommand) {
        when (order) {
            is WorkerCommand.Start -> start(order)
            is WorkerCommand.Stop -> stop(order)
        }
        lock.withLock { orders.end(order.number) }
        // The lists that follow the order tell the owner what became of it.
        if (order is WorkerCommand.Stop) look(Duration.ZERO)
    }

    /** What the owner is told of the worker; what it runs only if the report [isComplete]. */
    suspend fun report(isFenced: Boolean, isComplete: Boolean = true): WorkerReport = lock.withLock {
        val now = clock.steady()
        refused = refused.filter { (at, _) -> now - at < REFUSALS_KEPT_MILLIS }
        WorkerReport(
            profile = profile,
            running = if (isComplete) balance.withShares(running) else emptyList(),
            isComplete = isComplete,
            ended = ended.filter { it.number > endsStored },
            rejected = refused.map { it.second },
            lastCompletedCommand = listedOrders,
            reachable = isFenced && portClosed == 0 && now - answeredAt < SILENT_MILLIS,
            terminated = portClosed >= GONE_AFTER,
            healthy = health.isHealthy,
            listedAtMillis = listedAt,
            remainingLeaseMillis = (leaseSentUntil - now).coerceAtLeast(0) * DRIFT_PERCENT / FULL_PERCENT,
        )
    }

    /** Extends the lease as far as it was granted, before the agent stops. */
    suspend fun extend() {
        look(Duration.ZERO)
    }

    fun close(): Unit = worker.close()

    private suspend fun look(wait: Duration): WorkerError? {
        val call = lock.withLock {
            val until = lease.endOnWorkerClock(clock.steady())
            if (until != null) leaseSentUntil = maxOf(leaseSentUntil, lease.grantedUntil)
            LookCall(token, endsStored, until, orders.connection, orders.doneUpTo, clock.steady())
        }
        return when (val r = worker.poll(call.token, call.endsStored, call.until, wait)) {
            is Either.Right -> null.also { take(r.value, call) }
            is Either.Left -> r.value.also { noteError(it) }
        }
    }

    private class LookCall(
        val token: Long,
        val endsStored: Long,
        val until: Long?,
        val connection: Int,
        /** Orders that were carried out before the call. */
        val ordersBefore: Long,
        val sentAt: Long,
    )

    private suspend fun take(lists: WorkerAttempts, call: LookCall) {
        val now = clock.steady()
        val isNews = lock.withLock {
            if (answeredAt != 0L && now - answeredAt >= SILENT_MILLIS) logger.event(Level.INFO, "worker answers again")
            answeredAt = now
            portClosed = 0
            // Answers on different connections may overtake each other; an older list says nothing new.
            val upTo = if (call.connection == orders.connection) call.ordersBefore else 0
            val time = lists.time.millis
            if (time < listedAt || time == listedAt && upTo < listedOrders) return@withLock false
            listedAt = time
            lease.recordClock(time, now)
            // The owner waits for ends only; what else changed is in the next regular report.
            val newest = lists.ended.maxOfOrNull { it.number } ?: 0
            val isNews = newest > newestEnd
            if (lists.ended.any { it.number > newestEnd && it.cause == EndCause.Failed }) health.doubt()
            newestEnd = maxOf(newestEnd, newest)
            running = lists.running
            ended = lists.ended
            listedOrders = maxOf(listedOrders, upTo)
            balance.retain(running, orders.starting, call.sentAt)
            isNews
        }
        if (isNews) news.trySend(Unit)
    }

    private suspend fun noteError(error: WorkerError) {
        logger.event(Level.WARN, "worker does not answer", "worker" to profile.key, "reason" to error)
        lock.withLock {
            when (error) {
                is WorkerError.Refused, WorkerError.OtherLife -> portClosed++
                WorkerError.Fenced -> token += TOKEN_STEP
                else -> Unit
            }
        }
        news.trySend(Unit)
    }

    private suspend fun start(order: WorkerCommand.Start) {
        val call = lock.withLock {
            val until = lease.endOnWorkerClock(clock.steady())
            if (until == null || profile.draining) {
                null
            } else {
                orders.starting += order.task
                balance.noteStarting(order)
                leaseSentUntil = maxOf(leaseSentUntil, lease.grantedUntil)
                StartRequest(order.task, order.attempt, order.payload, order.checkpoint, until, token)
            }
        }
        if (call == null) {
            refuse(order, if (profile.draining) "worker drains" else "no lease")
            return
        }
        var isStarted = false
        try {
            when (val answer = worker.start(call)) {
                StartResult.Started -> isStarted = true
                is StartResult.Refused -> refuse(order, answer.reason)
                is StartResult.Unhealthy -> refuse(order, answer.reason, isUnhealthy = true)
                StartResult.Fenced -> refuse(order, "fenced")
                is StartResult.Unknown -> settle(order, answer.detail)
            }
        } finally {
            withContext(NonCancellable) {
                lock.withLock {
                    orders.starting -= order.task
                    balance.noteAnswered(order, clock.steady())
                }
            }
        }
        // Without a share of its own the task would run at full speed until the next figures.
        if (isStarted && order.profile.backfill) balance()
    }

    /** A start without an answer may be carried out later. A greater token rules that out; the lists then tell. */
    private suspend fun settle(order: WorkerCommand.Start, detail: String) {
        logger.event(
            Level.WARN,
            "start not answered",
            "task" to order.task,
            "attempt" to order.attempt,
            "reason" to detail,
        )
        val fenced = lock.withLock { ++token }
        while (true) {
            val error = look(Duration.ZERO)
            val isSettled = error == null && lock.withLock { token >= fenced }
            if (isSettled) break
            delay(RETRY)
        }
        val isKnown = lock.withLock {
            running.any { it.task == order.task && it.attempt == order.attempt } ||
                ended.any { it.task == order.task && it.attempt == order.attempt }
        }
        if (!isKnown) refuse(order, "no answer, and fenced since")
    }

    private suspend fun refuse(order: WorkerCommand.Start, reason: String, isUnhealthy: Boolean = false) {
        logger.event(
            Level.INFO,
            "start refused",
            "task" to order.task,
            "attempt" to order.attempt,
            "reason" to reason,
        )
        val refusal = RejectedStart(order.task, order.attempt, reason, isUnhealthy)
        lock.withLock { refused = refused + (clock.steady() to refusal) }
        news.trySend(Unit)
    }

    private suspend fun stop(order: WorkerCommand.Stop) {
        repeat(STOP_TRIES) {
            val error = worker.stop(order.task, order.attempt, lock.withLock { token }).leftOrNull() ?: return
            logger.event(
                Level.WARN,
                "stop not carried out",
                "task" to order.task,
                "attempt" to order.attempt,
                "reason" to error,
            )
            delay(RETRY)
        }
    }

    /**
     * Logs what the worker runs and how much of their targets and processors its tasks get, at most every two seconds.
     */
    private suspend fun summarize() {
        val now = clock.steady()
        if (now - summarizedAt < SUMMARY_MILLIS) return
        summarizedAt = now
        val (serving, filling) = lock.withLock {
            balance.servingFigures(running) to balance.backfillFigures(running)
        }
        logger.event(
            Level.INFO,
            "worker summary",
            "worker" to profile.key.id,
            "attempts" to running.size,
            "serving" to serving,
            "backfill" to filling,
            "percent" to balance.percent,
        )
    }

    /** Adapts the shares of backfill tasks to the latency of the tasks beside them. */
    private suspend fun balance() {
        val (shares, token) = lock.withLock {
            balance.decide(running, profile.capacity.cpuMillis, clock.steady()) to token
        }
        if (shares.isNotEmpty()) {
            logger.event(
                Level.INFO,
                "backfill share changes",
                "percent" to balance.percent,
                "headroom" to balance.headroom,
                "tasks" to shares.size,
            )
        }
        for (s in shares) {
            worker.throttle(s.task, s.attempt, s.percent, token).fold(
                { logger.event(Level.INFO, "share not set", "task" to s.task, "percent" to s.percent, "reason" to it) },
                { lock.withLock { balance.applied(s) } },
            )
        }
    }

    private companion object {
        /** The lease that owners grant. */
        const val LONGEST_LEASE_MILLIS = 3_000L
        const val SUMMARY_MILLIS = 2_000L

        /** The worker answers after this time if nothing ends; leases are extended as often. */
        val LOOK_WAIT = 800.milliseconds

        /** Period of a worker's figures. */
        val SHARED_LOOK_WAIT = 500.milliseconds

        /** Longest wait for the owner to store an end before the lists are read again. */
        val STORE_WAIT = 150.milliseconds
        val RETRY = 50.milliseconds

        /**
         * The worker counts as unreachable after this time without an answer: a look lasts 0.8 s and has as long again.
         */
        const val SILENT_MILLIS = 1_700L

        /** Connections refused in a row after which the worker process counts as gone. */
        const val GONE_AFTER = 3

        /** A refusal is reported for this long, so that a lost report does no harm. */
        const val REFUSALS_KEPT_MILLIS = 3_000L

        /** Tries of one stop order; the owner repeats the order. */
        const val STOP_TRIES = 3

        /** Passes a token that a start under way may have raised. */
        const val TOKEN_STEP = 16L

        /** A worker's clock may run 2 % slow; one more percent for the agent's own. */
        const val DRIFT_PERCENT = 103
        const val FULL_PERCENT = 100
    }
}
