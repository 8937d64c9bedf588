package org.camphorhall.process

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.CliktError
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.PrintHelpMessage
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.core.UsageError
import com.github.ajalt.clikt.core.parse
import com.github.ajalt.clikt.core.subcommands
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.options.versionOption
import com.github.ajalt.clikt.parameters.types.path
import io.github.oshai.kotlinlogging.KotlinLogging
import io.github.oshai.kotlinlogging.Level
import kotlinx.serialization.KSerializer
import sun.misc.Signal
import java.nio.file.Path
import java.util.Properties
import kotlin.system.exitProcess
import kotlin.time.Duration

private val logger = KotlinLogging.logger {}

// The help formatter joins lines unless they end with NEL.
private const val HARD_BREAK = "\u0085"

/** Environment variable that names the settings file when the command line does not. */
private const val SETTINGS_VARIABLE = "CAMPHORHALL_NODE_FILE"

/** Version of all programs, from the properties that Maven adds to the jar; `dev` when run from class files. */
public val programVersion: String by lazy {
    ExitCode::class.java.getResourceAsStream("/META-INF/maven/org.camphorhall/camphorhall-process/pom.properties")
        ?.use { Properties().apply { load(it) }.getProperty("version") } ?: "dev"
}

/**
 * Builds the command line of a server program: `serve`, `check-config` and `sample-config`. [sample] is a commented
 * settings file. [serve] runs until it returns or the shutdown signal is set; the process is halted if it has not ended
 * [stopTimeout] after the signal. Start it with [runProgram].
 */
public fun <S> program(
    name: String,
    serializer: KSerializer<S>,
    sample: String,
    check: (S) -> List<SettingsProblem>,
    stopTimeout: Duration? = null,
    serve: suspend (S, ShutdownSignal) -> ExitCode,
): CliktCommand = Root(name).subcommands(
    Serve(serializer, check, stopTimeout, serve),
    CheckConfig(serializer, check),
    SampleConfig(sample),
)

/** Runs [command] with [args] and exits the process with its status; for use as the body of `main`. */
public fun runProgram(command: CliktCommand, args: Array<String>) {
    val status = statusOf(command, args)
    flushLogs()
    exitProcess(status)
}

/**
 * Runs [command] with [args], prints its errors and returns the exit status: [ExitCode.Usage] for invalid arguments and
 * for a missing subcommand.
 */
public fun statusOf(command: CliktCommand, args: Array<String>): Int = try {
    command.parse(args)
    ExitCode.Ok.status
} catch (e: UsageError) {
    command.echoFormattedHelp(e)
    ExitCode.Usage.status
} catch (e: PrintHelpMessage) {
    command.echoFormattedHelp(e)
    if (e.error) ExitCode.Usage.status else ExitCode.Ok.status
} catch (e: CliktError) {
    command.echoFormattedHelp(e)
    e.statusCode
}

/** Formats exit [codes] and their meanings, one per line, as the epilog of a help page. */
public fun exitCodesHelp(codes: List<Pair<Int, String>>): String =
    (listOf("Exit codes:") + codes.map { (status, meaning) -> "$status $meaning" }).joinToString(HARD_BREAK)

private class Root(name: String) : CliktCommand(name) {
    init {
        versionOption(programVersion)
    }

    override fun helpEpilog(context: Context): String =
        exitCodesHelp(ExitCode.entries.map { it.status to it.meaning })

    override fun run() = Unit
}

private abstract class SettingsCommand<S>(
    name: String,
    private val serializer: KSerializer<S>,
    private val check: (S) -> List<SettingsProblem>,
) : CliktCommand(name) {
    protected val settings: Path by option(
        "--settings",
        help = "Settings file, JSON with comments",
        envvar = SETTINGS_VARIABLE,
    ).path().required()

    protected fun load(): S = readSettings(settings, serializer, check).fold({ problems ->
        problems.forEach { echo("$settings: $it", err = true) }
        throw ProgramResult(ExitCode.InvalidSettings.status)
    }) { it }
}

private class Serve<S>(
    private val serializer: KSerializer<S>,
    private val check: (S) -> List<SettingsProblem>,
    private val stopTimeout: Duration?,
    private val serve: suspend (S, ShutdownSignal) -> ExitCode,
) : SettingsCommand<S>("serve", serializer, check) {
    override fun help(context: Context) = "Run until SIGTERM or SIGINT. SIGHUP checks the settings file again."

    /** Validates the file only. A running process keeps its settings; changes apply at the next start. */
    private fun checkAgain(active: S) = readSettings(settings, serializer, check).fold(
        { problems ->
            logger.event(Level.ERROR, "settings are invalid, running settings kept", "problems" to problems)
        },
        { read ->
            val isSame = read == active
            logger.event(Level.INFO, "settings read again", "changed" to !isSame, "restartNeeded" to !isSame)
        },
    )

    override fun run() {
        val s = load()
        onHangup { checkAgain(s) }
        val code = runUntilShutdown(stopTimeout) { serve(s, it) }
        if (code != ExitCode.Ok) throw ProgramResult(code.status)
    }
}

private class CheckConfig<S>(serializer: KSerializer<S>, check: (S) -> List<SettingsProblem>) :
    SettingsCommand<S>("check-config", serializer, check) {
    override fun help(context: Context) = "Check a settings file and list all errors."

    override fun run() {
        load()
        echo("settings are valid")
    }
}

private class SampleConfig(private val sample: String) : CliktCommand("sample-config") {
    override fun help(context: Context) = "Print a commented settings file."

    override fun run() = echo(sample.trimEnd())
}

// Without a handler the JVM exits on SIGHUP.
private fun onHangup(action: () -> Unit) {
    try {
        Signal.handle(Signal("HUP")) { action() }
    } catch (e: IllegalArgumentException) {
        logger.warn(e) { "SIGHUP cannot be handled on this system" }
    }
}
