package org.camphorhall.e2e

import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.nio.file.Files
import java.nio.file.Path
import java.time.Duration
import java.util.Base64
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonObject

/**
 * The scheduler's programs as processes on loopback: the simulated platform of the users, entries, and agents with
 * workers. If [areLogsRead] is false, nobody reads the standard output of entries and agents. With store relays each
 * entry and each agent connects to the key-value service through its own relay.
 */
internal class SchedulerDeployment(
    private val dir: Path,
    workers: Int,
    entries: Int,
    private val areLogsRead: Boolean = true,
    hasStoreRelays: Boolean = false,
) : AutoCloseable {
    /** Started and completed tasks, all runs and violated invariants, as recorded by the simulated platform. */
    @Serializable
    class RunReport(
        val started: List<String>,
        val done: List<String>,
        val runs: List<TaskRun>,
        val violations: List<String>,
    )

    /** A run on a worker. Times are milliseconds of the host's monotonic clock; without [end] the task runs. */
    @Serializable
    data class TaskRun(
        val task: String,
        val run: Int,
        val worker: String,
        val startedAt: Long,
        val endedAt: Long?,
        val end: String?,
    ) {
        val job: String get() = task.substringBefore('.')
    }

    /** An entry process and its port for callers. */
    class Entry(val process: LaunchedProcess, val port: Int)

    private val http = HttpClient.newBuilder().connectTimeout(Duration.ofMillis(500)).build()
    private val heartbeatPorts = List(workers) { freePort() }
    private val fleet = LaunchedProcess(
        "fleet",
        listOf(launcher("camphorhall-dev"), "fleet") + heartbeatPorts.flatMap { listOf("--agent", "127.0.0.1:$it") },
        dir.resolve("fleet.log"),
    )
    private val storePort = fleet.awaitListeningPort("port")
    private val workerPorts = heartbeatPorts.indices.map { fleet.awaitListeningPort("worker$it") }

    private val relayProcesses = mutableListOf<LaunchedProcess>()

    /** Relays between the entries and the key-value service, by index of the entry. */
    val storeRelays: List<RelayInstance> =
        if (hasStoreRelays) List(entries) { startStoreRelay("entry-$it") } else emptyList()

    /** Relays between the agents and the key-value service, by index of the agent. */
    val agentRelays: List<RelayInstance> =
        if (hasStoreRelays) List(workers) { startStoreRelay("agent-$it") } else emptyList()

    val agents: List<LaunchedProcess> = heartbeatPorts.mapIndexed { i, port ->
        val address = agentRelays.getOrNull(i)?.address ?: "127.0.0.1:$storePort"
        val settings = """{"instance":"instance-$i","heartbeats":"127.0.0.1:$port","peers":"127.0.0.1:${freePort()}",
            "metrics":"127.0.0.1:${freePort()}","store":"$address"}"""
        launchScheduler("agent-$i", "agent", settings)
    }
    val entries: List<Entry> = List(entries) { i ->
        val port = freePort()
        val address = storeRelays.getOrNull(i)?.address ?: "127.0.0.1:$storePort"
        val settings = """{"instance":"entry-$i","callers":"127.0.0.1:$port","readiness":"127.0.0.1:${freePort()}",
            "metrics":"127.0.0.1:${freePort()}","store":"$address"}"""
        Entry(launchScheduler("entry-$i", "entry", settings), port)
    }

    init {
        send("PUT", "http://127.0.0.1:$storePort/debug/key/op/config", CONFIG)
    }

    /** Injects faults into the key-value service; an empty object ends them. */
    fun setStoreFaults(faults: String) = send("PUT", "http://127.0.0.1:$storePort/faults", faults)

    /** Restarts a worker under its id at its address. Its first heartbeat comes 1.5 s after it listens again. */
    fun restartWorker(index: Int) = send("PUT", "http://127.0.0.1:$storePort/debug/workers/$index/restart")

    /** Injects faults into all workers; an empty object ends them. Returns whether all responded. */
    fun setWorkerFaults(faults: String): Boolean =
        workerPorts.map { send("PUT", "http://127.0.0.1:$it/faults", faults)?.statusCode() }.all { it == HTTP_OK }

    /** Index of the agent that owns the shard, by the record in the store; null if there is no owner. */
    fun ownerIndex(): Int? = storedRecord("owner")?.let { Regex("\"instance\":\"instance-(\\d+)\"").find(it) }
        ?.groupValues?.get(1)?.toInt()

    /** Phase in the stored progress of a job; null if there is none. */
    fun storedPhase(id: String): String? =
        storedRecord("progress/$id")?.let { Regex("\"p\":\"([A-Za-z]+)\"").find(it) }?.groupValues?.get(1)

    fun runs(): RunReport =
        Json.decodeFromString(checkNotNull(send("GET", "http://127.0.0.1:$storePort/debug/runs")?.body()))

    /** Submits a job of three tasks and a dependent fourth. Returns the HTTP status, or null without a response. */
    fun submit(entry: Entry, id: String, runMillis: Int): Int? =
        call(entry, "POST", id, jobBody(runMillis))?.statusCode()

    /** Submits a job with one task for each worker that runs until it is stopped. Returns as [submit] does. */
    fun submitLongRunning(entry: Entry, id: String): Int? =
        call(entry, "POST", id, longRunningBody(agents.size))?.statusCode()

    fun cancel(entry: Entry, id: String): Int? = call(entry, "DELETE", id)?.statusCode()

    /** Requests the number of waiting jobs. Returns the HTTP status, or null without a response. */
    fun queryWaitingJobs(entry: Entry): Int? = call(entry, "GET", id = "")?.statusCode()

    /** State of a job; null if the entry does not report it. */
    fun jobState(entry: Entry, id: String): String? = call(entry, "GET", id)?.takeIf { it.statusCode() == HTTP_OK }
        ?.let { Regex("\"state\":\"([a-z]+)\"").find(it.body())?.groupValues?.get(1) }

    override fun close() {
        agents.forEach { it.close() }
        entries.forEach { it.process.close() }
        relayProcesses.forEach { it.close() }
        fleet.close()
    }

    private fun startStoreRelay(name: String): RelayInstance {
        val command = listOf(launcher("camphorhall-dev"), "relay", "--to", "127.0.0.1:$storePort")
        val process = LaunchedProcess("relay-$name", command, dir.resolve("relay-$name.log"))
        relayProcesses += process
        return RelayInstance(process)
    }

    private fun launchScheduler(name: String, role: String, settings: String): LaunchedProcess {
        val file = dir.resolve("$name.json").also { Files.writeString(it, settings) }
        return LaunchedProcess(
            name,
            listOf(launcher("camphorhall-scheduler"), role, "serve", "--settings", "$file"),
            dir.resolve("$name.log"),
            areLogsRead,
        )
    }

    /** The record of shard 0 at [key] as text; null if there is none. */
    private fun storedRecord(key: String): String? =
        send("GET", "http://127.0.0.1:$storePort/v1/kv-key?key=camphorhall/0/$key")
            ?.takeIf { it.statusCode() == HTTP_OK }
            ?.let { Json.parseToJsonElement(it.body()).jsonObject.text("value") }
            ?.let { Base64.getDecoder().decode(it).decodeToString() }

    private fun call(entry: Entry, method: String, id: String, body: String? = null): HttpResponse<String>? =
        send(method, "http://127.0.0.1:${entry.port}/jobs/$id", body)

    // The Host header selects the class of work, so the configured route has the entry's address as its host.
    private fun send(method: String, url: String, body: String? = null): HttpResponse<String>? {
        val publisher = body?.let(HttpRequest.BodyPublishers::ofString) ?: HttpRequest.BodyPublishers.noBody()
        val request = HttpRequest.newBuilder(URI(url)).method(method, publisher).timeout(Duration.ofSeconds(4)).build()
        return try {
            http.send(request, HttpResponse.BodyHandlers.ofString())
        } catch (e: java.io.IOException) {
            // The process may be down; the caller retries or handles the missing response.
            println("$method $url: $e")
            null
        }
    }

    companion object {
        const val HTTP_OK = 200
        private const val CONFIG = """{"version":1,"routes":[{"name":"r","host":"127.0.0.1","prefix":"/jobs/",
            "timeout-ms":3000,"slo-ms":250,"service":"service-1","max-attempts":9,"stretch":2.0}],
            "limits":{"max-body-bytes":262144}}"""

        private fun launcher(name: String) = "$repositoryRoot/bin/$name"

        private fun jobBody(runMillis: Int) = """{"spec":"$runMillis","steps":[{"count":3,"cpu":500,"mem-mb":10},""" +
            """{"count":1,"cpu":500,"mem-mb":10,"after":[0]}]}"""

        private fun longRunningBody(tasks: Int) = """{"spec":"-1","steps":[{"count":$tasks,"cpu":500,"mem-mb":10,""" +
            """"long-running":true,"anti-affinity":1}]}"""
    }
}
