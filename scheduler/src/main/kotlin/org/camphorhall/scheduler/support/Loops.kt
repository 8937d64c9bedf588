package org.camphorhall.scheduler.support

import io.github.oshai.kotlinlogging.KotlinLogging
import io.github.oshai.kotlinlogging.Level
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.launch
import org.camphorhall.process.event
import kotlin.time.Duration.Companion.milliseconds

private val logger = KotlinLogging.logger {}

/** Delay before a failed loop runs again, so that a lasting fault does not use all processor time. */
private val RESTART_DELAY = 200.milliseconds

/**
 * Launches [loop], which runs as long as the process, and runs it again if it fails. Without it an unexpected exception
 * or error would end the loop for good while the process and its other loops go on.
 */
internal fun CoroutineScope.launchLoop(name: String, loop: suspend () -> Unit): Job = launch { runLoop(name, loop) }

/** Runs [loop] until it returns, and again after each unexpected exception or error. */
@Suppress("TooGenericExceptionCaught") // A loop has to survive anything, also a lack of memory for one document.
internal suspend fun runLoop(name: String, loop: suspend () -> Unit) {
    while (true) {
        try {
            return loop()
        } catch (e: CancellationException) {
            currentCoroutineContext().ensureActive()
            logFailure(name, e)
        } catch (e: Throwable) {
            logFailure(name, e)
        }
        delay(RESTART_DELAY)
    }
}

private fun logFailure(name: String, cause: Throwable) {
    logger.event(Level.ERROR, "loop failed; running it again", "loop" to name, cause = cause)
}
