package org.camphorhall.entry.http

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.camphorhall.core.shard.SingleStepJobRecord
import org.camphorhall.core.shard.TaskRecord
import org.camphorhall.core.shard.TaskState

/** State of a job in the HTTP API. */
@Serializable
internal data class JobStatus(
    val id: String,
    val `class`: String,
    val tenant: String,
    /** `queued`, `running`, `cancelling`, `done`, `failed` or `cancelled`. */
    val state: String,
    val reason: String? = null,
    val tasks: List<TaskStatus>,
    val submittedMillis: Long,
    /** Time by which the job must finish, or start when its class has an answer-within target. */
    val finishByMillis: Long,
    val endedMillis: Long? = null,
)

/** State of a task in the HTTP API. */
@Serializable
internal data class TaskStatus(
    val index: Int,
    val state: String,
    val attempt: Int,
    val worker: String? = null,
    val progressMillis: Long,
    val evictions: Int,
    val result: String? = null,
    val reason: String? = null,
)

/** All jobs, and the shards whose owners did not respond. */
@Serializable
internal data class JobList(val jobs: List<JobStatus>, @SerialName("silentShards") val unresponsiveShards: List<Int>)

internal fun SingleStepJobRecord.toStatus(): JobStatus {
    val states = tasks.map { it.state }
    val failure = states.firstNotNullOfOrNull { it as? TaskState.Failed }
    val state = when {
        ended && failure != null -> "failed"
        ended && states.any { it is TaskState.Cancelled } -> "cancelled"
        ended -> "done"
        cancelled -> "cancelling"
        states.any { it is TaskState.Assigned && it.started } -> "running"
        else -> "queued"
    }
    return JobStatus(
        id = id.value,
        `class` = spec.className.value,
        tenant = spec.tenant.value,
        state = state,
        reason = failure?.reason?.code,
        tasks = tasks.mapIndexed { i, t -> t.toStatus(i) },
        submittedMillis = submittedMillis,
        finishByMillis = dueMillis,
        endedMillis = endedMillis,
    )
}

private fun TaskRecord.toStatus(index: Int): TaskStatus {
    val name = when (val s = state) {
        TaskState.Queued -> "queued"
        is TaskState.Assigned -> if (s.stopReason != null) "stopping" else if (s.started) "running" else "starting"
        is TaskState.Done -> "done"
        is TaskState.Failed -> "failed"
        TaskState.Cancelled -> "cancelled"
    }
    return TaskStatus(
        index = index,
        state = name,
        attempt = attempts,
        worker = (state as? TaskState.Assigned)?.worker?.value,
        progressMillis = progressMillis,
        evictions = evictions,
        result = (state as? TaskState.Done)?.result,
        reason = (state as? TaskState.Failed)?.reason?.code ?: waitReason?.code,
    )
}
