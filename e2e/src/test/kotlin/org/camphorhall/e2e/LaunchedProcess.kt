package org.camphorhall.e2e

import java.lang.ProcessBuilder.Redirect.PIPE
import java.lang.ProcessBuilder.Redirect.appendTo
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.TimeUnit

/** Root of the repository: the nearest directory above the working directory that has the launchers. */
internal val repositoryRoot: Path = generateSequence(Path.of("").toAbsolutePath()) { it.parent }
    .first { Files.isExecutable(it.resolve("bin/camphorhall-entry")) }

/**
 * A process that a test starts through a launcher in `bin/`. [log] receives standard output and standard error; if
 * [isLogRead] is false, they go to a pipe that nobody reads.
 */
internal class LaunchedProcess(
    val name: String,
    private val command: List<String>,
    private val log: Path,
    private val isLogRead: Boolean = true,
) : AutoCloseable {
    private var process: Process = launch()

    val isAlive: Boolean get() = process.isAlive

    /** Waits for the `listening` event in the log of a `camphorhall-dev` program and returns the port in [field]. */
    fun awaitListeningPort(field: String): Int = awaitValue("$name listens") {
        Regex("\"event\":\"listening\".*\"$field\":(\\d+)").find(Files.readString(log))?.groupValues?.get(1)?.toInt()
    }

    /** Polls until [ready] holds; fails if the process exits before. */
    fun awaitReady(ready: () -> Boolean) = awaitCondition("$name is ready") {
        check(isAlive) { "$name exited before it was ready; its log is $log" }
        ready()
    }

    /** Sends SIGKILL and waits until the process has exited. */
    fun kill() {
        process.destroyForcibly()
        process.waitFor()
    }

    /** Suspends the process with SIGSTOP until [resume]. */
    fun pause() = signal("STOP")

    fun resume() = signal("CONT")

    /** Sends SIGTERM. The output of the process stays open, unlike with [Process.destroy]. */
    fun terminate() = signal("TERM")

    /** Waits until the process exits and returns its exit status. */
    fun awaitExitStatus(): Int {
        check(process.waitFor(EXIT_SECONDS, TimeUnit.SECONDS)) {
            "$name did not exit within $EXIT_SECONDS s; its log is $log"
        }
        return process.exitValue()
    }

    /** Waits up to [time] and returns whether the process has exited. */
    fun exitsWithin(time: Long, unit: TimeUnit): Boolean = process.waitFor(time, unit)

    /** Starts the same command again after the process has exited. */
    fun restart() {
        check(!isAlive) { "$name is still running and cannot be restarted" }
        process = launch()
    }

    override fun close() {
        process.destroyForcibly()
        process.waitFor(EXIT_SECONDS, TimeUnit.SECONDS)
    }

    private fun launch(): Process = ProcessBuilder(command)
        .redirectErrorStream(true)
        .redirectOutput(if (isLogRead) appendTo(log.toFile()) else PIPE)
        .start()

    private fun signal(name: String) {
        check(ProcessBuilder("kill", "-$name", process.pid().toString()).start().waitFor() == 0) {
            "SIG$name was not delivered to process ${process.pid()}"
        }
    }

    private companion object {
        const val EXIT_SECONDS = 60L
    }
}
