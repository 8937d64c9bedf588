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
 * Asks a worker whether it considers itself healthy, with [requestHealth], and reports changes to [onChange]. Each question is
 * charged by the platform, so that it is asked now and then, and at once when a task has failed.
 */
internal class HealthProbe(
    private val requestHealth: suspend (path: String) -> Either<WorkerError, Boolean>,
    private val onChange: () -> Unit,
) {
    private val earlyChecks = Channel<Unit>(Channel.CONFLATED)

    /** Where the worker is asked; null not to ask. */
    @Volatile
    var path: String? = null

    /** The last answer. A worker that does not answer is noticed by its other calls. */
    @Volatile
    var isHealthy = true
        private set

    /** Makes the next question come soon. */
    fun checkSoon() {
        earlyChecks.trySend(Unit)
    }

    /** Asks until the worker's life ends. */
    suspend fun run() {
        while (true) {
            path?.let { check(it) }
            delay(MIN_PERIOD)
            withTimeoutOrNull(if (path == null || !isHealthy) Duration.ZERO else EXTRA_HEALTHY_PERIOD) { earlyChecks.receive() }
        }
    }

    private suspend fun check(path: String) {
        val response = requestHealth(path).fold(
            { error ->
                logger.event(Level.DEBUG, "health not known", "path" to path, "reason" to error)
                return
            },
            { it },
        )
        if (response == isHealthy) return
        isHealthy = response
        logger.event(Level.INFO, "worker health changes", "healthy" to response)
        onChange()
    }

    private companion object {
        /** Between two questions to a worker that fails tasks or called itself unhealthy. */
        val MIN_PERIOD = 1_000.milliseconds

        /** Between two questions to any other worker, besides the time above. */
        val EXTRA_HEALTHY_PERIOD = 4_000.milliseconds
    }
}
