package org.camphorhall.core.shard

import org.camphorhall.core.model.Reason
import org.camphorhall.core.model.TaskId

internal fun JobShardStep.cancel(e: JobShardEvent.Cancel) {
    val job = page.jobs[e.id]
    when {
        !state.ready || state.commit.failingSince != null ->
            actions += JobShardAction.Rejected(e.correlationId, Reason.StoreUnavailable)
        job == null || job.ended -> actions += JobShardAction.CancelRecorded(e.correlationId)
        else -> cancelJob(job, e.correlationId)
    }
}

private fun JobShardStep.cancelJob(job: SingleStepJobRecord, correlationId: Long) {
    val stopping = mutableListOf<TaskId>()
    var changed = job.copy(cancelled = true)
    job.tasks.forEachIndexed { i, task ->
        val id = job.taskId(i)
        when (val s = task.state) {
            is TaskState.Queued -> {
                changed = changed.withTask(i, task.copy(state = TaskState.Cancelled))
                state = state.copy(queued = state.queued.remove(id))
            }
            is TaskState.Assigned -> {
                changed = changed.withTask(i, task.copy(state = s.copy(stopReason = Reason.Cancelled)))
                stopping += id
            }
            else -> Unit
        }
    }
    val effects =
        stopping.map { ShardEffect.SendStop(it) } + ShardEffect.AcknowledgeCancellation(correlationId, now.mono)
    change(page.copy(jobs = page.jobs.put(job.id, changed)), effects)
    recordJobEnd(job.id)
}
