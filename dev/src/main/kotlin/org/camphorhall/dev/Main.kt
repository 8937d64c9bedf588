package org.camphorhall.dev

import ch.qos.logback.classic.Level
import ch.qos.logback.classic.LoggerContext
import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.core.subcommands
import org.camphorhall.dev.backend.BackendCommand
import org.camphorhall.dev.fleet.FleetCommand
import org.camphorhall.dev.fleet.TrainCommand
import org.camphorhall.dev.load.LoadCommand
import org.camphorhall.dev.relay.RelayCommand
import org.camphorhall.dev.runtime.RuntimeCommand
import org.camphorhall.dev.store.StoreCommand
import org.slf4j.LoggerFactory

/** Runs the platform stand-ins and the load generator. */
public fun main(args: Array<String>) {
    // Ktor's own shutdown hook would stop a server that is still draining.
    System.setProperty("io.ktor.server.engine.ShutdownHook", "false")
    // Tests parse standard output, so it must contain only the JSON lines and results.
    (LoggerFactory.getILoggerFactory() as? LoggerContext)?.getLogger("ROOT")?.level = Level.ERROR
    DevCommand()
        .subcommands(StoreCommand(), RuntimeCommand(), BackendCommand(), LoadCommand(), RelayCommand())
        .subcommands(FleetCommand(), TrainCommand())
        .main(args)
}

internal class DevCommand : CliktCommand("camphorhall-dev") {
    override fun run() = Unit
}
