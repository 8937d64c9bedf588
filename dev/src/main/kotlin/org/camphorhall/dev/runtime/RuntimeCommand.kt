package org.camphorhall.dev.runtime

import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import org.camphorhall.core.model.Resources
import org.camphorhall.dev.ServerCommand
import org.camphorhall.dev.http.TestServer
import kotlin.time.Duration.Companion.milliseconds

/** Runs the worker runtime of one instance, or of several instances in one process for measurements. */
internal class RuntimeCommand : ServerCommand("runtime") {
    private val instance by option(help = "id of the instance").default("instance-1")
    private val rack by option(help = "rack of the instance").default("rack-1")
    private val cpuMillis by option(help = "CPU capacity, in millicores").long().default(8_000)
    private val memoryMib by option(help = "memory capacity, in MiB").long().default(16_384)
    private val accelerators by option(help = "number of accelerators").int().default(0)
    private val usageLagMillis by option(help = "age of the usage samples, in ms").long().default(1_000)

    private val count by option(
        help = "number of instances; with more than one, instance N has id INSTANCE-N and a URL that ends in /N",
    ).int().default(1)

    override fun help(context: Context): String = "Runs a worker runtime whose tasks are timers."

    override suspend fun start(): StartedServer {
        val capacity = Resources(cpuMillis, memoryMib, accelerators)
        val first = RuntimeService(instance, rack, capacity, usageLagMillis.milliseconds)
        val more = (1..count).filter { count > 1 }.map { n ->
            RuntimeService("$instance-$n", rack, capacity, usageLagMillis.milliseconds)
        }
        val server = TestServer.start(host, port, first.faults) {
            first.defineEndpoints(this)
            more.forEachIndexed { i, service -> service.defineEndpoints(withPrefix("/${i + 1}", service.faults)) }
        }
        return StartedServer(server.port) { server.stop() }
    }
}
