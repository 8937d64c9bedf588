package org.camphorhall.process

import ch.qos.logback.classic.LoggerContext
import io.github.oshai.kotlinlogging.KotlinLogging
import io.github.oshai.kotlinlogging.Level
import kotlinx.coroutines.runBlocking
import org.slf4j.LoggerFactory
import java.util.concurrent.CompletableFuture
import kotlin.concurrent.thread
import kotlin.time.Duration
import kotlin.time.TimeSource

private val logger = KotlinLogging.logger {}

/**
 * Runs [serve] until it ends, and asks it to stop at SIGTERM or SIGINT. A JVM that ends by a signal exits with
 * 128 + signal, so that a hook waits for the graceful stop and sets the status itself. [timeout] after the signal the
 * process ends even if the stop hangs, for example because nobody reads standard output.
 */
internal fun runUntilShutdown(timeout: Duration?, serve: suspend (ShutdownSignal) -> ExitCode): ExitCode {
    // Ktor's own hook would stop the server at the signal, while requests are still in flight.
    System.setProperty("io.ktor.server.engine.ShutdownHook", "false")
    val signal = ShutdownSignal()
    val ended = CompletableFuture<ExitCode>()
    val hook = Thread({
        if (timeout != null) haltAfter(timeout, ended)
        signal.request()
        val code = ended.join()
        flushLogs()
        System.out.flush()
        Runtime.getRuntime().halt(code.status)
    }, "shutdown")
    Runtime.getRuntime().addShutdownHook(hook)
    val code = try {
        runBlocking { serve(signal) }
    } catch (e: Exception) {
        exitCodeOf(e)
    } catch (e: Error) {
        exitCodeOf(e)
    }
    logger.event(Level.INFO, "program ends", "status" to code.status, "stopMillis" to signal.elapsedMillis)
    ended.complete(code)
    removeHook(hook)
    return code
}

/** Logs lines that wait in the queue of the thread that writes them. */
internal fun flushLogs() {
    (LoggerFactory.getILoggerFactory() as? LoggerContext)?.stop()
}

private fun haltAfter(timeout: Duration, ended: CompletableFuture<ExitCode>) {
    val start = TimeSource.Monotonic.markNow()
    thread(isDaemon = true, name = "stop limit") {
        // Nothing is logged here: the log may be what the stop waits for.
        Thread.sleep((timeout - start.elapsedNow()).inWholeMilliseconds.coerceAtLeast(0))
        Runtime.getRuntime().halt(ended.getNow(ExitCode.RuntimeFailure).status)
    }
}

// A server that binds in the background reports the failure as the cause of another exception.
private fun exitCodeOf(e: Throwable): ExitCode {
    logger.error(e) { if (e.isBindFailure) "cannot bind" else "program failed" }
    return if (e.isBindFailure) ExitCode.CouldNotStart else ExitCode.RuntimeFailure
}

private fun removeHook(hook: Thread) {
    try {
        Runtime.getRuntime().removeShutdownHook(hook)
    } catch (e: IllegalStateException) {
        logger.debug(e) { "the JVM is already stopping, the hook sets the exit status" }
    }
}
