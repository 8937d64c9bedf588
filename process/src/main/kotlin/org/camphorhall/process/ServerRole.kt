package org.camphorhall.process

import io.github.oshai.kotlinlogging.KotlinLogging
import io.github.oshai.kotlinlogging.Level
import kotlinx.serialization.KSerializer
import sun.misc.Signal
import java.nio.file.Path
import kotlin.time.Duration

private val logger = KotlinLogging.logger {}

/** Environment variable that names the settings file when the command line does not. */
internal const val SETTINGS_VARIABLE = "CAMPHORHALL_NODE_FILE"

/**
 * A server and its settings. [serve] runs until it returns or the shutdown signal is set; the process is halted if it
 * has not ended [stopTimeout] after the signal.
 */
public class ServerRole<S>(
    internal val name: String,
    private val serializer: KSerializer<S>,
    private val check: (S) -> List<SettingsProblem>,
    private val stopTimeout: Duration? = null,
    private val serve: suspend (S, ShutdownSignal) -> ExitCode,
) {
    /** Reads and checks the settings in [file]; prints the problems and returns null if there are any. */
    internal fun load(file: Path): S? = readSettings(file, serializer, check).fold(
        { problems ->
            problems.forEach { System.err.println("$file: $it") }
            null
        },
        { it },
    )

    /** Runs the server with the settings in [file]. */
    internal fun run(file: Path): ExitCode {
        val settings = load(file) ?: return ExitCode.InvalidSettings
        onHangup { checkAgain(file, settings) }
        return runUntilShutdown(stopTimeout) { serve(settings, it) }
    }

    /** Validates the file only. A running process keeps its settings; changes apply at the next start. */
    private fun checkAgain(file: Path, active: S) = readSettings(file, serializer, check).fold(
        { problems ->
            logger.event(Level.ERROR, "settings are invalid, running settings kept", "problems" to problems)
        },
        { read ->
            val isSame = read == active
            logger.event(Level.INFO, "settings read again", "changed" to !isSame, "restartNeeded" to !isSame)
        },
    )
}

/**
 * Runs one of [roles] if [args] are its name and `serve`, and the environment names the settings file; returns null for
 * all other command lines. A deployment starts servers this way, and then loads no parser of command lines.
 */
public fun serveDirectly(roles: List<ServerRole<*>>, args: Array<String>): ExitCode? {
    val role = roles.firstOrNull { args.size == 2 && args[0] == it.name && args[1] == "serve" } ?: return null
    val file = System.getenv(SETTINGS_VARIABLE) ?: return null
    return role.run(Path.of(file))
}

// Without a handler the JVM exits on SIGHUP.
private fun onHangup(action: () -> Unit) {
    try {
        Signal.handle(Signal("HUP")) { action() }
    } catch (e: IllegalArgumentException) {
        logger.warn(e) { "SIGHUP cannot be handled on this system" }
    }
}
