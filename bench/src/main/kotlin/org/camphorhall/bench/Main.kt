package org.camphorhall.bench

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.core.subcommands

/** Runs the measurement that the subcommand names. */
public fun main(args: Array<String>): Unit = Bench().subcommands(
    DecisionCommand(),
    ShardCommand(),
    FootprintCommand(),
    LatencyCommand(),
    BatchCommand(),
).main(args)

private class Bench : CliktCommand("bench") {
    override fun run(): Unit = Unit
}
