package org.camphorhall.scheduler.agent

import arrow.core.Either
import io.github.oshai.kotlinlogging.KotlinLogging
import io.github.oshai.kotlinlogging.Level
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import org.camphorhall.platform.worker.WorkerError
import org.camphorhall.process.event
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private val logger = KotlinLogging.logger {}

/**
 * Checks the health of a worker with [requestHealth] and reports changes to [onChange]. The platform charges for each
 * check, so checks are infrequent, with an early one after a task failure.
 */
internal class HealthProbe(
    private val requestHealth: suspend (path: String) -> Either<WorkerError, Boolean>,
    private val onChange: () -> Unit,
) {
    private val earlyChecks = Channel<Unit>(Channel.CONFLATED)

    /** Path of the worker's health endpoint; null disables the checks. */
    @Volatile
    var path: String? = null

    /** Result of the last check with a response. Other calls detect a worker that does not respond. */
    @Volatile
    var isHealthy = true
        private set

    /** Requests an early check. */
    fun checkSoon() {
        earlyChecks.trySend(Unit)
    }

    /** Checks until cancelled. */
    suspend fun run() {
        while (true) {
            path?.let { check(it) }
            delay(MIN_PERIOD)
            withTimeoutOrNull(if (path == null || !isHealthy) Duration.ZERO else EXTRA_HEALTHY_PERIOD) {
                earlyChecks.receive()
            }
        }
    }

    private suspend fun check(path: String) {
        val result = requestHealth(path).fold(
            { error ->
                logger.event(Level.DEBUG, "health check failed", "path" to path, "reason" to error)
                return
            },
            { it },
        )
        if (result == isHealthy) return
        isHealthy = result
        logger.event(Level.INFO, "worker health changed", "healthy" to result)
        onChange()
    }

    private companion object {
        /** Minimum time between checks, used for a worker that is unhealthy or fails tasks. */
        val MIN_PERIOD = 1_000.milliseconds

        /** Added to [MIN_PERIOD] for other workers. */
        val EXTRA_HEALTHY_PERIOD = 4_000.milliseconds
    }
}
