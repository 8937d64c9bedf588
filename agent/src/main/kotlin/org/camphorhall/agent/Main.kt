package org.camphorhall.agent

import org.camphorhall.process.program
import org.camphorhall.process.runProgram

/** Runs the agent program. */
public fun main(args: Array<String>) {
    val sample = checkNotNull(AgentOptions::class.java.getResource("/agent.sample.json")).readText()
    runProgram(program("camphorhall-agent", AgentOptions.serializer(), sample, ::checkOptions, serve = ::serve), args)
}
