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
 * A process that a test started through a launcher of `bin/`. [log] receives both output streams; without [isLogRead]
 * they go to a pipe that nobody reads.
 */
internal class LaunchedProcess(
    val name: String,
    private val command: List<String>,
    private val log: Path,
    private val isLogRead: Boolean = true,
) : AutoCloseable {
    private var process: Process = launch()

    val isAlive: Boolean get() = process.isAlive

    /** Reads [field] of the line with which a program of `camphorhall-dev` says that it listens. */
    fun awaitListeningPort(field: String): Int = awaitValue("$name listens") {
        Regex("\"event\":\"listening\".*\"$field\":(\\d+)").find(Files.readString(log))?.groupValues?.get(1)?.toInt()
    }

    /** Polls until [ready] holds. */
    fun awaitReady(ready: () -> Boolean) = awaitCondition("$name is ready") {
        check(isAlive) { "$name ended; its log is $log" }
        ready()
    }

    /** Ends the process with SIGKILL and waits until it is gone. */
    fun kill() {
        process.destroyForcibly()
        process.waitFor()
    }

    /** Stops the process in its tracks (SIGSTOP) until [resume]. */
    fun pause() = signal("STOP")

    fun resume() = signal("CONT")

    /** Sends SIGTERM. The output of the process stays open, unlike with [Process.destroy]. */
    fun terminate() = signal("TERM")

    /** Waits for the end of the process and returns its exit status. */
    fun awaitExitStatus(): Int {
        check(process.waitFor(EXIT_SECONDS, TimeUnit.SECONDS)) { "$name did not end; its log is $log" }
        return process.exitValue()
    }

    /** Whether the process ends within [time]. */
    fun exitsWithin(time: Long, unit: TimeUnit): Boolean = process.waitFor(time, unit)

    /** Starts the same command again after its end. */
    fun restart() {
        check(!isAlive) { "$name still runs" }
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
        check(ProcessBuilder("kill", "-$name", process.pid().toString()).start().waitFor() == 0)
    }

    private companion object {
        const val EXIT_SECONDS = 60L
    }
}
