package org.camphorhall.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.context
import com.github.ajalt.clikt.core.findOrSetObject
import com.github.ajalt.clikt.core.subcommands
import com.github.ajalt.clikt.core.terminal
import com.github.ajalt.clikt.parameters.options.multiple
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.split
import com.github.ajalt.clikt.parameters.options.versionOption
import com.github.ajalt.clikt.parameters.types.enum
import com.github.ajalt.mordant.terminal.Terminal
import org.camphorhall.process.exitCodesHelp
import org.camphorhall.process.programVersion
import org.camphorhall.process.runProgram

/** Runs the command-line client for operators and callers. */
public fun main(args: Array<String>) {
    // Keeps log lines out of standard output, which carries the results.
    System.setProperty("logback.configurationFile", "logback-cli.xml")
    runProgram(rootCommand(Terminal()), args)
}

/** Builds the command `camphorhall`, which prints to [terminal] and reads environment variables with [environment]. */
internal fun rootCommand(
    terminal: Terminal,
    environment: (String) -> String? = System::getenv,
): CliktCommand = RootCommand(terminal, environment).subcommands(
    CommandGroup("class", "Classes of work and their targets.").subcommands(
        ClassSet(),
        ClassShow(),
        ClassList(),
        ClassRemove(),
    ),
    CommandGroup("quota", "Quotas of tenants.").subcommands(QuotaSet(), QuotaShow(), QuotaList(), QuotaRemove()),
    CommandGroup("config", "The configuration as a whole.").subcommands(ConfigShow(), ConfigDiff()),
    CommandGroup("job", "Batch jobs.").subcommands(JobSubmit(), JobShow(), JobList(), JobCancel(), JobWatch()),
    RequestCommand(),
    CommandGroup("worker", "Workers.").subcommands(WorkerList(), WorkerDrain()),
    ReportCommand(),
)

private class RootCommand(commandTerminal: Terminal, environment: (String) -> String?) : CliktCommand("camphorhall") {
    private val entries by option(
        "--entry",
        metavar = "URL",
        envvar = "CAMPHORHALL_ENTRY",
        help = "Address of an entry, several separated by commas; the next is tried when a connection fails",
    ).split(",").multiple()
    private val output by option("--output", help = "Output format").enum<OutputFormat> { it.name.lowercase() }

    init {
        versionOption(programVersion)
        context {
            terminal = commandTerminal
            readEnvvar = environment
        }
    }

    override fun helpEpilog(context: Context): String =
        exitCodesHelp(CliExitCode.entries.map { it.status to it.meaning })

    override fun run() {
        currentContext.findOrSetObject { RootOptions(entries.flatten(), output) }
    }
}

private class CommandGroup(name: String, private val about: String) : CliktCommand(name) {
    override fun help(context: Context): String = about

    override fun run(): Unit = Unit
}
