package org.camphorhall.dev.fleet

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.request.put
import io.ktor.client.request.setBody
import io.ktor.http.HttpMethod
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.receive
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonPrimitive
import org.camphorhall.dev.http.BufferedResponse
import org.camphorhall.dev.http.Endpoints
import org.camphorhall.dev.http.FaultInjector
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/**
 * HTTP API of a worker of the users' platform. Its tasks are timers: the spec of a job is the run time in milliseconds.
 * [cpu] is the capacity in millicores; [clock] returns monotonic milliseconds, by default from the start of the worker.
 */
internal class FleetWorkerService(
    private val id: String,
    private val service: String,
    private val cpu: Long,
    oracle: FleetOracle = FleetOracle(),
    private val clock: () -> Long = newClock(),
) {
    private val born = System.currentTimeMillis()
    private val state = FleetWorkerState(cpu, oracle, id)
    val faults = FaultInjector()

    @Volatile
    private var isDraining = false

    @Volatile
    private var isUnhealthy = false

    fun defineEndpoints(endpoints: Endpoints) = with(endpoints) {
        endpoint(HttpMethod.Post, "/v1/run-start") { call ->
            if (isUnhealthy) BufferedResponse(UNAVAILABLE) else handleCommand(call) { command -> start(command) }
        }
        stopEndpoint("/v1/run-stop") { call ->
            handleCommand(call) { command -> null.also { state.stop(command.task, command.run, clock()) } }
        }
        endpoint(HttpMethod.Post, "/v1/pace") { call -> handleCommand(call) { null } }
        endpoint(HttpMethod.Post, "/v1/hold") { call -> poll(call) }
        endpoint(HttpMethod.Get, HEALTH_PATH) {
            if (isUnhealthy) BufferedResponse(UNAVAILABLE) else BufferedResponse()
        }
        debugEndpoint(HttpMethod.Put, "/debug/unhealthy") { BufferedResponse().also { isUnhealthy = true } }
        debugEndpoint(HttpMethod.Put, "/debug/healthy") { BufferedResponse().also { isUnhealthy = false } }
        debugEndpoint(HttpMethod.Put, "/debug/drain") { BufferedResponse().also { isDraining = true } }
    }

    /** Ends runs that are complete or whose lease expired; a worker does this without a request. */
    fun endFinishedRuns() = locked { endFinishedRuns(clock()) }

    /** Ends all runs, as the end of the process does. */
    fun crash() = locked { endAll() }

    /** Sends heartbeats for this worker, which listens on [ownAddress], to [address] until cancelled. */
    suspend fun sendHeartbeats(address: String, ownAddress: String) {
        val client = HttpClient(CIO)
        var seq = 0L
        while (true) {
            val body = BufferedResponse.format.encodeToString(
                HeartbeatJson(
                    service = service,
                    address = ownAddress,
                    state = if (isDraining) "draining" else "ready",
                    capacity = CapacityJson(cpu),
                    born = born,
                    seq = ++seq,
                ),
            )
            try {
                client.put("http://$address/v1/instances/$id") { setBody(body) }
            } catch (e: java.io.IOException) {
                System.err.println("heartbeat of $id to $address failed; retrying: $e")
            }
            delay(HEARTBEAT_PERIOD)
        }
    }

    private fun start(command: CommandJson): String? {
        command.untilMillis?.let { state.extendLease(it, clock()) }
        return state.start(command.task, command.run, command.spec.toLongOrNull() ?: 0, 0, clock())
    }

    private suspend fun handleCommand(call: ApplicationCall, action: (CommandJson) -> String?): BufferedResponse {
        val command = BufferedResponse.format.decodeFromString<CommandJson>(call.receive<ByteArray>().decodeToString())
        val reason = locked { if (isStaleToken(command.token)) "fence" else action(command) }
        val response = BufferedResponse.json(CommandResponseJson(clock(), reason))
        return if (reason == null) response else BufferedResponse(CONFLICT, response.body)
    }

    private suspend fun poll(call: ApplicationCall): BufferedResponse {
        val request = BufferedResponse.format.decodeFromString<PollJson>(call.receive<ByteArray>().decodeToString())
        val isStale = locked { isStaleToken(request.token) }
        if (isStale) {
            return BufferedResponse(CONFLICT, BufferedResponse.json(CommandResponseJson(clock(), "fence")).body)
        }
        locked {
            request.untilMillis?.let { extendLease(it, clock()) }
            acknowledgeEnds(request.lastSeen)
            endFinishedRuns(clock())
        }
        withTimeoutOrNull(request.waitMillis.milliseconds) {
            while (locked { ended.isEmpty().also { endFinishedRuns(clock()) } }) delay(END_CHECK_PERIOD)
        }
        return locked {
            val now = clock()
            val rows = running.values.map { r ->
                listOf(
                    JsonPrimitive(r.task),
                    JsonPrimitive(r.run),
                    JsonPrimitive(""),
                    JsonPrimitive(progressPercent(r, now)),
                )
            }
            val ends = ended.take(ENDS_PER_LIST).map { e ->
                listOf(
                    JsonPrimitive(e.number),
                    JsonPrimitive(e.task),
                    JsonPrimitive(e.run),
                    JsonPrimitive(e.cause),
                    JsonPrimitive(""),
                )
            }
            BufferedResponse.json(PollResponseJson(now, rows.map(::JsonArray), ends.map(::JsonArray), born))
        }
    }

    private fun <T> locked(action: FleetWorkerState.() -> T): T = synchronized(state) { state.action() }

    @Serializable
    private class CommandJson(
        val task: String,
        val run: Int,
        val spec: String = "",
        @SerialName("until-ms") val untilMillis: Long? = null,
        @SerialName("fencing-token") val token: Long = 0,
    )

    @Serializable
    private class PollJson(
        @SerialName("until-ms") val untilMillis: Long? = null,
        @SerialName("fencing-token") val token: Long = 0,
        @SerialName("last-seen") val lastSeen: Long = 0,
        @SerialName("wait-ms") val waitMillis: Long = 0,
    )

    @Serializable
    private class CommandResponseJson(@SerialName("clock-ms") val clock: Long, val reason: String? = null)

    @Serializable
    private class PollResponseJson(
        @SerialName("clock-ms") val clock: Long,
        val running: List<JsonArray>,
        val ended: List<JsonArray>,
        val born: Long,
    )

    @Serializable
    private class CapacityJson(val cpu: Long, @SerialName("mem-mb") val memory: Long = 65_536)

    @Serializable
    private class HeartbeatJson(
        val service: String,
        val address: String,
        val state: String,
        val capacity: CapacityJson,
        val born: Long,
        val seq: Long,
        val zone: String = "zone-1",
        val labels: List<String> = listOf("a", "rack-1"),
    )

    private companion object {
        fun newClock(): () -> Long {
            val start = TimeSource.Monotonic.markNow()
            return { start.elapsedNow().inWholeMilliseconds }
        }

        const val CONFLICT = 409
        const val UNAVAILABLE = 503

        /** A worker lists at most this many ends at a time. */
        const val ENDS_PER_LIST = 500

        /** Health check path in the configurations that tests write. */
        const val HEALTH_PATH = "/health"
        val HEARTBEAT_PERIOD = 500.milliseconds
        val END_CHECK_PERIOD = 5.milliseconds
    }
}
