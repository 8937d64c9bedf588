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
import kotlinx.serialization.KSerializer
import java.nio.file.Path
import java.util.Properties
import kotlin.system.exitProcess
import kotlin.time.Duration

// The help formatter joins lines unless they end with NEL.
private const val HARD_BREAK = "\u0085"

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
): CliktCommand = program(ServerRole(name, serializer, check, stopTimeout, serve)) { sample }

/** Builds the command line of [role]; see the other overload. */
public fun program(role: ServerRole<*>, sample: () -> String): CliktCommand =
    Root(role.name).subcommands(Serve(role), CheckConfig(role), SampleConfig(sample))

/** Runs [command] with [args] and exits the process with its status; for use as the body of `main`. */
public fun runProgram(command: CliktCommand, args: Array<String>): Unit = exitWith(statusOf(command, args))

/** Writes the queued log lines and exits the process with [status]. */
public fun exitWith(status: Int) {
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

private abstract class SettingsCommand(name: String) : CliktCommand(name) {
    protected val settings: Path by option(
        "--settings",
        help = "Settings file, JSON with comments",
        envvar = SETTINGS_VARIABLE,
    ).path().required()
}

private class Serve(private val role: ServerRole<*>) : SettingsCommand("serve") {
    override fun help(context: Context) = "Run until SIGTERM or SIGINT. SIGHUP checks the settings file again."

    override fun run() {
        val code = role.run(settings)
        if (code != ExitCode.Ok) throw ProgramResult(code.status)
    }
}

private class CheckConfig(private val role: ServerRole<*>) : SettingsCommand("check-config") {
    override fun help(context: Context) = "Check a settings file and list all errors."

    override fun run() {
        if (role.load(settings) == null) throw ProgramResult(ExitCode.InvalidSettings.status)
        echo("settings are valid")
    }
}

private class SampleConfig(private val sample: () -> String) : CliktCommand("sample-config") {
    override fun help(context: Context) = "Print a commented settings file."

    override fun run() = echo(sample().trimEnd())
}
