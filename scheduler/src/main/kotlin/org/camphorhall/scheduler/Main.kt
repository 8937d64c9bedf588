package org.camphorhall.scheduler

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.subcommands
import org.camphorhall.process.ServerRole
import org.camphorhall.process.exitWith
import org.camphorhall.process.program
import org.camphorhall.process.runProgram
import org.camphorhall.process.serveDirectly
import org.camphorhall.scheduler.agent.SchedulerAgentOptions
import org.camphorhall.scheduler.agent.checkAgentOptions
import org.camphorhall.scheduler.agent.serveAgent
import org.camphorhall.scheduler.entry.SchedulerEntryOptions
import org.camphorhall.scheduler.entry.checkEntryOptions
import org.camphorhall.scheduler.entry.serveEntry
import kotlin.time.Duration.Companion.seconds

/** Runs one of the two roles of the scheduler. */
public fun main(args: Array<String>) {
    val entry =
        ServerRole("entry", SchedulerEntryOptions.serializer(), ::checkEntryOptions, STOP_TIMEOUT, ::serveEntry)
    val agent =
        ServerRole("agent", SchedulerAgentOptions.serializer(), ::checkAgentOptions, STOP_TIMEOUT, ::serveAgent)
    val code = serveDirectly(listOf(entry, agent), args)
    if (code != null) exitWith(code.status) else runCommandLine(listOf(entry, agent), args)
}

private fun runCommandLine(roles: List<ServerRole<*>>, args: Array<String>) {
    val (entry, agent) = roles
    runProgram(Scheduler().subcommands(program(entry) { sample("entry") }, program(agent) { sample("agent") }), args)
}

/** The platform kills a process 6 s after the stop signal. */
private val STOP_TIMEOUT = 5.seconds

private class Scheduler : CliktCommand("camphorhall-scheduler") {
    override fun help(context: Context) =
        "Scheduler of jobs with steps: an entry for callers, an agent beside each worker."

    override fun run() = Unit
}

private fun sample(role: String): String =
    checkNotNull(Scheduler::class.java.getResource("/scheduler-$role.sample.json")).readText()
