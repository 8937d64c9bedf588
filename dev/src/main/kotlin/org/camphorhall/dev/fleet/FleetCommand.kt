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
        val server = TestServer.start(host, port, store.faults) {
            store.defineEndpoints(this)
            debugEndpoint(HttpMethod.Get, "/debug/runs") { BufferedResponse.json(oracle.report()) }
        }
        scope.launch {
            while (true) {
                delay(LEASE_CHECK_PERIOD)
                store.expireLeases()
            }
        }
        val workers = agents.mapIndexed { i, agent ->
            val worker = FleetWorkerService("worker-$i", service, cpu, oracle)
            val workerServer = TestServer.start(host, 0, worker.faults) { worker.defineEndpoints(this) }
            scope.launch { worker.sendHeartbeats(agent, "$host:${workerServer.port}") }
            scope.launch {
                while (true) {
                    worker.endFinishedRuns()
                    delay(RUN_CHECK_PERIOD)
                }
            }
            workerServer
        }
        val ports = workers.mapIndexed { i, w -> ",\"worker$i\":${w.port}" }.joinToString("")
        return StartedServer(server.port, ports) {
            server.stop()
            workers.forEach { it.stop() }
        }
    }

    private companion object {
        val LEASE_CHECK_PERIOD = 50.milliseconds
        val RUN_CHECK_PERIOD = 10.milliseconds
    }
}
