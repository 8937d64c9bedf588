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
 * Runs [serve] until it returns, and requests its stop on SIGTERM or SIGINT. A JVM that is ended by a signal exits with
 * 128 + signal; a shutdown hook therefore waits for the graceful stop and halts with the program's status. The process
 * is halted [timeout] after the signal even if the stop hangs, for example because nobody reads standard output.
 */
internal fun runUntilShutdown(timeout: Duration?, serve: suspend (ShutdownSignal) -> ExitCode): ExitCode {
    // Ktor's own shutdown hook would stop the server on the signal, while requests are still in flight.
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
    logger.event(Level.INFO, "program exits", "status" to code.status, "stopMillis" to signal.elapsedMillis)
    ended.complete(code)
    removeHook(hook)
    return code
}

/** Writes the log lines that are still queued in the asynchronous appender, and stops logging. */
internal fun flushLogs() {
    (LoggerFactory.getILoggerFactory() as? LoggerContext)?.stop()
}

private fun haltAfter(timeout: Duration, ended: CompletableFuture<ExitCode>) {
    val start = TimeSource.Monotonic.markNow()
    thread(isDaemon = true, name = "shutdown timeout") {
        // Not logged: the stop may be hanging on a blocked log output.
        Thread.sleep((timeout - start.elapsedNow()).inWholeMilliseconds.coerceAtLeast(0))
        Runtime.getRuntime().halt(ended.getNow(ExitCode.RuntimeFailure).status)
    }
}

// A server that binds asynchronously reports a failed bind as the cause of another exception.
private fun exitCodeOf(e: Throwable): ExitCode {
    logger.error(e) { if (e.isBindFailure) "cannot bind" else "program failed" }
    return if (e.isBindFailure) ExitCode.CouldNotStart else ExitCode.RuntimeFailure
}

private fun removeHook(hook: Thread) {
    try {
        Runtime.getRuntime().removeShutdownHook(hook)
    } catch (e: IllegalStateException) {
        logger.debug(e) { "JVM is already shutting down; the shutdown hook sets the exit status" }
    }
}
