package org.camphorhall.dev.fleet

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.path
import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.request.delete
import io.ktor.client.request.get
import io.ktor.client.request.header
import io.ktor.client.request.post
import io.ktor.client.request.put
import io.ktor.client.request.setBody
import io.ktor.client.statement.bodyAsText
import io.ktor.http.HttpHeaders
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.camphorhall.dev.http.TestServer
import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.milliseconds

/**
 * Runs the agent and the entry of the scheduler under a short load and stops them, so that the JVM lists the classes
 * that they loaded.
 */
internal class TrainCommand : CliktCommand("train") {
    private val classPath by option(help = "class path of the scheduler").required()
    private val jvm by option(help = "JVM options of the deployment, separated by spaces").required()
    private val output by option(help = "directory of the lists").path().required()

    override fun help(context: Context): String =
        "Lists the classes that each role of the scheduler loads, for its class data archive."

    override fun run() = runBlocking {
        val ports = List(PORTS) { ServerSocket(0, 1, InetAddress.getLoopbackAddress()) }
            .also { all -> all.forEach { it.close() } }
            .map { it.localPort }
        val scope = CoroutineScope(Dispatchers.Default)
        val store = FleetStoreService()
        val storeServer = TestServer.start(HOST, 0, store.faults) { store.defineEndpoints(this) }
        val worker = FleetWorkerService("worker-0", SERVICE, CPU)
        val workerServer = TestServer.start(HOST, 0, worker.faults) { worker.defineEndpoints(this) }
        val address = { i: Int -> "$HOST:${ports[i]}" }
        val common = "\"instance\":\"trained\",\"store\":\"$HOST:${storeServer.port}\""
        val agent = launchRole(
            "agent",
            """{$common,"heartbeats":"${address(0)}","peers":"${address(1)}","metrics":"${address(2)}"}""",
        )
        val entry = launchRole(
            "entry",
            """{$common,"callers":"${address(3)}","readiness":"${address(4)}","metrics":"${address(5)}"}""",
        )
        try {
            scope.launch { worker.sendHeartbeats(address(0), "$HOST:${workerServer.port}") }
            sendJobs("http://$HOST:${storeServer.port}", "http://${address(3)}", "http://${address(4)}")
        } finally {
            for (p in listOf(entry, agent)) {
                p.destroy()
                if (!p.waitFor(STOP_SECONDS, TimeUnit.SECONDS)) p.destroyForcibly()
            }
            storeServer.stop()
            workerServer.stop()
        }
    }

    private fun launchRole(role: String, settings: String): Process {
        val file: Path = output.resolve("$role.training.json")
        Files.writeString(file, settings)
        val java = Path.of(System.getProperty("java.home"), "bin", "java").toString()
        val command = listOf(java) + jvm.split(' ') + listOf(
            "-Xshare:off",
            "-XX:DumpLoadedClassList=${output.resolve("$role.classlist")}",
            "-cp",
            classPath,
            "org.camphorhall.scheduler.MainKt",
            role,
            "serve",
        )
        return ProcessBuilder(command)
            .apply { environment()["CAMPHORHALL_NODE_FILE"] = file.toString() }
            .redirectErrorStream(true)
            .redirectOutput(output.resolve("$role.training.log").toFile())
            .start()
    }

    private suspend fun sendJobs(store: String, entry: String, readiness: String) {
        HttpClient(CIO).use { client ->
            client.put("$store/debug/key/op/config") { setBody(CONFIG) }
            var attempts = 0
            while (!isReady(client, readiness) && attempts++ < READY_ATTEMPTS) delay(READY_POLL_PERIOD)
            repeat(JOBS) { i ->
                val id = "%016x".format(i)
                client.post("$entry/q/$id") {
                    header(HttpHeaders.Host, "h.example")
                    setBody(JOB)
                }.bodyAsText()
                delay(JOB_PERIOD)
                client.get("$entry/q/$id") { header(HttpHeaders.Host, "h.example") }.bodyAsText()
                client.get("$entry/q/") { header(HttpHeaders.Host, "h.example") }.bodyAsText()
                if (i % CANCEL_EVERY == 0) {
                    client.delete("$entry/q/$id") { header(HttpHeaders.Host, "h.example") }.bodyAsText()
                }
            }
        }
    }

    private suspend fun isReady(client: HttpClient, readiness: String): Boolean = try {
        client.get("$readiness/v1/ready").status.value == OK
    } catch (e: IOException) {
        echo("entry at $readiness not ready; retrying: ${e.message}", err = true)
        false
    }

    private companion object {
        const val HOST = "127.0.0.1"
        const val SERVICE = "service-1"
        const val CPU = 64_000L
        const val PORTS = 6
        const val OK = 200
        const val JOBS = 30
        const val CANCEL_EVERY = 5
        const val READY_ATTEMPTS = 60
        const val STOP_SECONDS = 15L
        val READY_POLL_PERIOD = 200.milliseconds
        val JOB_PERIOD = 100.milliseconds
        const val JOB = """{"spec":"150","steps":[{"count":4,"cpu":500,"mem-mb":10,"estimate-ms":150},""" +
            """{"count":2,"cpu":500,"after":[0],"fills":true}]}"""
        const val CONFIG = """{"version":1,"routes":[{"name":"r","host":"h.example","prefix":"/q/",""" +
            """"type":"non_idempotent","timeout-ms":3000,"slo-ms":250,"service":"$SERVICE","max-attempts":2,""" +
            """"stretch":1.5}],"limits":{"max-body-bytes":262144}}"""
    }
}
