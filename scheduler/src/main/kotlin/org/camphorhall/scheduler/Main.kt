package org.camphorhall.scheduler

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.subcommands
import org.camphorhall.process.program
import org.camphorhall.process.runProgram
import org.camphorhall.scheduler.agent.SchedulerAgentOptions
import org.camphorhall.scheduler.agent.checkAgentOptions
import org.camphorhall.scheduler.agent.serveAgent
import org.camphorhall.scheduler.entry.SchedulerEntryOptions
import org.camphorhall.scheduler.entry.checkEntryOptions
import org.camphorhall.scheduler.entry.serveEntry
import kotlin.time.Duration.Companion.seconds

/** Runs one of the two roles of the scheduler. */
public fun main(args: Array<String>): Unit = runProgram(
    Scheduler().subcommands(
        program(
            "entry",
            SchedulerEntryOptions.serializer(),
            sample("entry"),
            ::checkEntryOptions,
            STOP_TIMEOUT,
            ::serveEntry,
        ),
        program(
            "agent",
            SchedulerAgentOptions.serializer(),
            sample("agent"),
            ::checkAgentOptions,
            STOP_TIMEOUT,
            ::serveAgent,
        ),
    ),
    args,
)

/** The platform kills a process 6 s after the stop signal. */
private val STOP_TIMEOUT = 5.seconds

private class Scheduler : CliktCommand("camphorhall-scheduler") {
    override fun help(context: Context) =
        "Scheduler of jobs with steps: an entry for callers, an agent beside each worker."

    override fun run() = Unit
}

private fun sample(role: String): String =
    checkNotNull(Scheduler::class.java.getResource("/scheduler-$role.sample.json")).readText()
