package org.camphorhall.scheduler.agent

import io.github.oshai.kotlinlogging.KotlinLogging
import io.github.oshai.kotlinlogging.Level
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.coroutines.withContext
import org.camphorhall.core.jobs.BackfillThrottle
import org.camphorhall.core.jobs.WorkerProfile
import org.camphorhall.platform.worker.TaskWorker
import org.camphorhall.platform.worker.WorkerError
import org.camphorhall.process.event
import org.camphorhall.scheduler.support.Clock

private val logger = KotlinLogging.logger {}

/** Sets the shares that [backfill] computes on [worker], and logs their effect. State is read under [lock]. */
internal class BackfillShares(
    private val worker: TaskWorker,
    private val backfill: BackfillController,
    private val lock: Mutex,
    private val clock: Clock,
) {
    private var summarizedAt = 0L

    /**
     * Logs the attempts of the worker, the latency of its serving tasks and the shares of its backfill tasks, at most
     * every [SUMMARY_PERIOD_MILLIS].
     */
    suspend fun logSummary(profile: WorkerProfile, attempts: ListedAttempts) {
        val now = clock.steady()
        if (now - summarizedAt < SUMMARY_PERIOD_MILLIS) return
        summarizedAt = now
        val (servingMetrics, backfillMetrics) = lock.withLock {
            backfill.servingMetrics(attempts.running) to backfill.backfillMetrics(attempts.running)
        }
        logger.event(
            Level.INFO,
            "worker summary",
            "worker" to profile.key.id,
            "attempts" to attempts.running.size,
            "serving" to servingMetrics,
            "backfill" to backfillMetrics,
            "percent" to backfill.meanSharePercent,
        )
    }

    /** Adjusts the shares of backfill tasks to the latency of the serving tasks on the worker. */
    suspend fun adjust(profile: WorkerProfile, attempts: ListedAttempts, currentToken: () -> Long) {
        val (shares, token) = lock.withLock {
            backfill.computeShares(attempts.running, profile.capacity.cpuMillis, clock.steady()) to currentToken()
        }
        if (shares.isNotEmpty()) {
            logger.event(
                Level.INFO,
                "changing backfill shares",
                "percent" to backfill.meanSharePercent,
                "headroom" to backfill.minHeadroom,
                "tasks" to shares.size,
            )
        }
        shares.forEach { set(it, token) }
    }

    /** A call without a response, also one that is cancelled, may have been carried out or may still be. */
    private suspend fun set(share: BackfillThrottle.Share, token: Long) {
        var error: WorkerError? = WorkerError.Unknown("cancelled")
        try {
            error = worker.throttle(share.task, share.attempt, share.percent, token).leftOrNull()
        } finally {
            withContext(NonCancellable) { lock.withLock { recordResult(share, error) } }
        }
    }

    private fun recordResult(share: BackfillThrottle.Share, error: WorkerError?) {
        when (error) {
            null -> backfill.recordApplied(share)
            is WorkerError.Unknown -> backfill.recordLost(share, clock.steady())
            // The worker did nothing.
            else -> Unit
        }
        if (error != null) {
            logger.event(
                Level.INFO,
                "share not set",
                "task" to share.task,
                "percent" to share.percent,
                "reason" to error,
            )
        }
    }

    private companion object {
        const val SUMMARY_PERIOD_MILLIS = 2_000L
    }
}
