package org.camphorhall.cli

import com.github.ajalt.mordant.rendering.AnsiLevel
import com.github.ajalt.mordant.terminal.Terminal
import com.github.ajalt.mordant.terminal.TerminalRecorder
import org.camphorhall.process.statusOf

internal data class CliResult(val status: Int, val out: String, val err: String)

/** Runs `camphorhall` with [args], with its output in a pipe or, if [interactive], on a terminal. */
internal fun runCli(
    vararg args: String,
    environment: Map<String, String> = emptyMap(),
    interactive: Boolean = false,
): CliResult {
    val recorder = TerminalRecorder(AnsiLevel.NONE, outputInteractive = interactive, inputInteractive = interactive)
    val status = statusOf(rootCommand(Terminal(terminalInterface = recorder)) { environment[it] }, arrayOf(*args))
    return CliResult(status, recorder.stdout().trimEnd(), recorder.stderr().trimEnd())
}

internal fun splitWords(line: String): Array<String> = line.split(' ').toTypedArray()
