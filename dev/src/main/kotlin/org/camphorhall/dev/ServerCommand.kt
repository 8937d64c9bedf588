package org.camphorhall.dev

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.int
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.runBlocking

/** A subcommand that runs a server until SIGTERM. */
internal abstract class ServerCommand(name: String) : CliktCommand(name) {
    protected val host: String by option(help = "address to listen on").default("127.0.0.1")
    protected val port: Int by option(help = "port to listen on; 0 selects a free port").int().default(0)

    /** Starts the server. Its [StartedServer.stop] runs on SIGTERM. */
    protected abstract suspend fun start(): StartedServer

    override fun run() = runBlocking {
        val started = start()
        // A JVM that terminates on SIGTERM exits with status 143; halting at the end of the hook exits with 0.
        Runtime.getRuntime().addShutdownHook(
            Thread {
                runBlocking { started.stop() }
                Runtime.getRuntime().halt(0)
            },
        )
        println("{\"event\":\"listening\",\"port\":${started.port}${started.extraFields}}")
        System.out.flush()
        awaitCancellation()
    }

    /** A started server. [extraFields] are appended to the JSON line that announces its port, such as `,"a":1`. */
    internal class StartedServer(val port: Int, val extraFields: String = "", val stop: suspend () -> Unit)
}
