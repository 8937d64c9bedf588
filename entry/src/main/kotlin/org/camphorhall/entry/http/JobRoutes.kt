package org.camphorhall.entry.http

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.header
import io.ktor.server.response.respondText
import io.ktor.server.routing.Route
import io.ktor.server.routing.delete
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import kotlinx.serialization.Serializable
import org.camphorhall.core.agent.shardOf
import org.camphorhall.core.model.ClassName
import org.camphorhall.core.model.JobId
import org.camphorhall.core.model.Reason
import org.camphorhall.core.model.RequestOutcome
import org.camphorhall.core.model.Resources
import org.camphorhall.core.model.TenantName
import org.camphorhall.core.shard.SingleStepJobRecord
import org.camphorhall.core.shard.SingleStepJobSpec
import org.camphorhall.entry.EntryComponents
import org.camphorhall.entry.shard.ShardRequest
import org.camphorhall.entry.shard.ShardResponse
import org.camphorhall.process.Problem
import org.camphorhall.process.respondProblem
import java.security.MessageDigest
import java.util.UUID

/** Body of a job submission. */
@Serializable
internal data class JobBody(
    val `class`: String,
    val tenant: String = "default",
    val resources: Resources,
    val expectedMillis: Long = 0,
    val payload: String = "",
    val tasks: Int = 1,
)

/** Response to an accepted submission. */
@Serializable
internal data class JobAccepted(val id: String)

/** Routes of batch jobs. */
internal fun Route.jobRoutes(components: EntryComponents) {
    post("/v1/jobs") { call.submit(components) }
    get("/v1/jobs") {
        val (jobs, unresponsiveShards) = components.shards.listJobs()
        val list = JobList(jobs.sortedByDescending { it.submittedMillis }.map { it.toStatus() }, unresponsiveShards)
        call.respondJson(bodyJson.encodeToString(JobList.serializer(), list))
    }
    get("/v1/jobs/{id}") {
        val id = JobId(call.parameters["id"].orEmpty())
        when (val a = components.shards.send(shardOf(id, components.options.shards), ShardRequest.Status(id))) {
            is ShardResponse.Jobs -> call.respondJob(a.jobs.firstOrNull())
            else -> call.respondUnavailable()
        }
    }
    delete("/v1/jobs/{id}") {
        val id = JobId(call.parameters["id"].orEmpty())
        val shard = shardOf(id, components.options.shards)
        when (val a = components.shards.send(shard, ShardRequest.Cancel(id))) {
            ShardResponse.Done -> {
                val after = components.shards.send(shard, ShardRequest.Status(id)) as? ShardResponse.Jobs
                val job = after?.jobs?.firstOrNull()
                // The cancellation is recorded even when the job cannot be read back.
                if (after == null) call.respondAccepted(id) else call.respondJob(job, HttpStatusCode.Accepted)
            }
            is ShardResponse.Rejected -> call.respondRejected(a.reason)
            else -> call.respondInDoubt()
        }
    }
}

private suspend fun ApplicationCall.submit(components: EntryComponents) {
    if (components.stopping) return respondRejected(Reason.Draining)
    val body = receiveJson(JobBody.serializer(), components.options.limits.maxBodyBytes) ?: return
    val limits = components.options.limits
    val problem = when {
        body.`class`.isBlank() || body.tenant.isBlank() -> "class and tenant must not be blank"
        !body.resources.isValid() -> "resources must not be negative"
        body.resources == Resources.None -> "resources must not be all zero"
        body.expectedMillis < 0 -> "expectedMillis must be 0 or more"
        body.payload.encodeToByteArray().size > limits.maxPayloadBytes ->
            "payload is longer than ${limits.maxPayloadBytes} bytes"
        body.tasks !in 1..limits.maxTasks -> "tasks must be from 1 to ${limits.maxTasks}"
        else -> null
    }
    if (problem != null) return respondBadRequest(problem)
    val id = jobId(components, body.tenant, request.header("Idempotency-Key"))
    val spec = SingleStepJobSpec(
        ClassName(body.`class`),
        TenantName(body.tenant),
        body.resources,
        body.expectedMillis,
        body.payload,
        body.tasks,
    )
    when (val a = components.shards.send(shardOf(id, components.options.shards), ShardRequest.Submit(id, spec))) {
        is ShardResponse.Accepted -> respondAccepted(a.id)
        is ShardResponse.Rejected -> respondRejected(a.reason)
        else -> respondInDoubt()
    }
}

/**
 * Returns an id derived from the idempotency key, so that a repeated submission is the same job. Without a key, returns
 * a random id of a shard of this entry.
 */
private fun jobId(components: EntryComponents, tenant: String, key: String?): JobId {
    if (key != null) {
        val digest = MessageDigest.getInstance("SHA-256").digest("$tenant/$key".encodeToByteArray())
        return JobId("j-" + digest.take(KEY_BYTES).joinToString("") { "%02x".format(it) })
    }
    val ownedShards = components.shards.readyShards().toSet()
    var id = JobId("j-${UUID.randomUUID()}")
    // If no generated id belongs to a shard of this entry, the last one is used.
    repeat(MAX_ID_TRIES) {
        if (ownedShards.isEmpty() || shardOf(id, components.options.shards) in ownedShards) return id
        id = JobId("j-${UUID.randomUUID()}")
    }
    return id
}

private suspend fun ApplicationCall.respondJob(job: SingleStepJobRecord?, status: HttpStatusCode = HttpStatusCode.OK) {
    if (job == null) {
        respondProblem(Problem(status = HttpStatusCode.NotFound.value, title = "No job has this id."))
    } else {
        respondJson(bodyJson.encodeToString(JobStatus.serializer(), job.toStatus()), status)
    }
}

private suspend fun ApplicationCall.respondAccepted(id: JobId) =
    respondJson(bodyJson.encodeToString(JobAccepted.serializer(), JobAccepted(id.value)), HttpStatusCode.Accepted)

private suspend fun ApplicationCall.respondRejected(reason: Reason) =
    respondProblem(problemOf(RequestOutcome.NotRun(reason)))

private suspend fun ApplicationCall.respondInDoubt() =
    respondProblem(problemOf(RequestOutcome.Unknown(Reason.StoreUnavailable)))

private suspend fun ApplicationCall.respondUnavailable() = respondProblem(
    Problem(status = HttpStatusCode.ServiceUnavailable.value, title = "The owner of the job cannot be reached."),
)

internal suspend fun ApplicationCall.respondJson(text: String, status: HttpStatusCode = HttpStatusCode.OK): Unit =
    respondText(text, ContentType.Application.Json, status)

private const val KEY_BYTES = 16
private const val MAX_ID_TRIES = 200
