package org.camphorhall.entry.http

import io.grpc.StatusException
import io.ktor.http.HttpStatusCode
import io.ktor.server.routing.Route
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import kotlinx.serialization.Serializable
import org.camphorhall.core.model.ClassName
import org.camphorhall.core.model.MonotonicInstant
import org.camphorhall.core.model.Resources
import org.camphorhall.core.model.WorkerId
import org.camphorhall.core.routing.WorkerInfo
import org.camphorhall.entry.EntryComponents
import org.camphorhall.entry.account.OutcomeReport
import org.camphorhall.entry.account.buildReport
import org.camphorhall.process.Problem
import org.camphorhall.process.respondProblem
import org.camphorhall.wire.proto.AgentGrpcKt
import org.camphorhall.wire.proto.LeaveRequest
import java.util.concurrent.TimeUnit

/** State of a worker in the HTTP API. */
@Serializable
internal data class WorkerStatus(
    val id: String,
    val failureDomain: String,
    val rack: String,
    val draining: Boolean,
    val ageMillis: Long,
    val capacity: Resources,
    val used: Resources,
    val classes: List<WorkerClassLoad>,
)

/** Load of one class on a worker. */
@Serializable
internal data class WorkerClassLoad(val name: String, val slots: Int, val running: Int, val queued: Int)

/** The workers that the entry tracks. */
@Serializable
internal data class WorkerList(val workers: List<WorkerStatus>)

/** Response to a drain request. */
@Serializable
internal data class DrainStatus(val id: String, val draining: Boolean)

/** Routes for operators. */
internal fun Route.operatorRoutes(components: EntryComponents) {
    get("/v1/workers") {
        val now = components.clocks.mono()
        val list = components.workerRegistry.snapshot().workers.values.sortedBy { it.id.value }.map { it.toStatus(now) }
        call.respondJson(bodyJson.encodeToString(WorkerList.serializer(), WorkerList(list)))
    }
    post("/v1/workers/{id}/drain") {
        val id = WorkerId(call.parameters["id"].orEmpty())
        val info = components.workerRegistry.snapshot().workers[id]
        if (info == null) {
            val title = "The entry has no worker with this id."
            call.respondProblem(Problem(status = HttpStatusCode.NotFound.value, title = title))
            return@post
        }
        try {
            val response = AgentGrpcKt.AgentCoroutineStub(components.channels.get(info.address))
                .withDeadlineAfter(DRAIN_CALL_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .leave(LeaveRequest.newBuilder().setReason("operator").build())
            val status = DrainStatus(id.value, response.draining)
            call.respondJson(bodyJson.encodeToString(DrainStatus.serializer(), status))
        } catch (e: StatusException) {
            val title = "The worker's agent is unreachable."
            call.respondProblem(Problem(status = HttpStatusCode.BadGateway.value, title = title, detail = e.message))
        }
    }
    get("/v1/report") {
        val only = call.request.queryParameters["class"]?.let(::ClassName)
        val live = components.watch.state.entries.keys
        val report = buildReport(components.store, components.options.shards, components.accounting.page(), live, only)
        call.respondJson(bodyJson.encodeToString(OutcomeReport.serializer(), report))
    }
}

private fun WorkerInfo.toStatus(now: MonotonicInstant) = WorkerStatus(
    id = id.value,
    failureDomain = failureDomain,
    rack = rack,
    draining = draining,
    ageMillis = (now - lastSeenAt).inWholeMilliseconds,
    capacity = capacity,
    used = used,
    classes = classes.map { (n, l) -> WorkerClassLoad(n.value, l.slots, l.running, l.queued) }.sortedBy { it.name },
)

private const val DRAIN_CALL_TIMEOUT_MILLIS = 2_000L
