package org.camphorhall.dev.fleet

import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.multiple
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.long
import io.ktor.http.HttpMethod
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.camphorhall.dev.ServerCommand
import org.camphorhall.dev.http.BufferedResponse
import org.camphorhall.dev.http.TestServer
import kotlin.time.Duration.Companion.milliseconds

/** Runs stand-ins for the key-value service and the workers that speak the protocols of the users' platform. */
internal class FleetCommand : ServerCommand("fleet") {
    private val service by option(help = "name of the service that the workers belong to").default("service-1")
    private val cpu by option(help = "CPU capacity of a worker, in millicores").long().default(64_000)
    private val agents by option(
        "--agent",
        help = "heartbeat address of an agent; one worker is started for each",
    ).multiple()

    override fun help(context: Context): String = "Runs a key-value service and one worker for each agent."

    override suspend fun start(): StartedServer {
        val scope = CoroutineScope(Dispatchers.Default)
        val store = FleetStoreService()
        val oracle = FleetOracle()
        val workers = agents.mapIndexed { i, agent ->
            FleetWorkerHost("worker-$i", host, agent, scope) { FleetWorkerService(it, service, cpu, oracle) }
        }
        val server = TestServer.start(host, port, store.faults) {
            store.defineEndpoints(this)
            debugEndpoint(HttpMethod.Get, "/debug/runs") { BufferedResponse.json(oracle.report()) }
            debugEndpoint(HttpMethod.Put, "/debug/workers/{index}/restart") { call ->
                val worker = workers[call.parameters["index"].orEmpty().toInt()]
                scope.launch { worker.restart(DOWN) }
                BufferedResponse()
            }
        }
        scope.launch {
            while (true) {
                delay(LEASE_CHECK_PERIOD)
                store.expireLeases()
            }
        }
        workers.forEach { it.start() }
        val ports = workers.mapIndexed { i, w -> ",\"worker$i\":${w.port}" }.joinToString("")
        return StartedServer(server.port, ports) {
            server.stop()
            runBlocking { workers.forEach { it.stop() } }
        }
    }

    private companion object {
        val LEASE_CHECK_PERIOD = 50.milliseconds

        /** Time between two incarnations of a worker. */
        val DOWN = 1_000.milliseconds
    }
}
