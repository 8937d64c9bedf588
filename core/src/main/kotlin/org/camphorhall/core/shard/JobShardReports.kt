package org.camphorhall.core.shard

import org.camphorhall.core.agent.AttemptPhase
import org.camphorhall.core.model.Reason
import org.camphorhall.core.model.TaskId
import org.camphorhall.core.model.WorkerId

/** Applies [reports] of the agent [incarnation]. Attempts of a later incarnation are unknown to an earlier one. */
internal fun JobShardStep.applyReports(worker: WorkerId, incarnation: Long, reports: List<AttemptReport>) {
    if (!state.ready) return
    for (r in reports) {
        val task = page.task(r.id.task) ?: continue
        val assigned = task.state as? TaskState.Assigned ?: continue
        val known = assigned.worker == worker && assigned.incarnation <= incarnation
        if (assigned.id == r.id && known) applyReport(r, task, assigned)
    }
}

private fun JobShardStep.applyReport(r: AttemptReport, task: TaskRecord, assigned: TaskState.Assigned) {
    val id = r.id.task
    val updated = task.copy(
        checkpoint = r.checkpoint ?: task.checkpoint,
        progressMillis = maxOf(task.progressMillis, r.progressMillis),
    )
    when (r.phase) {
        AttemptPhase.Starting -> Unit
        AttemptPhase.Running, AttemptPhase.Stopping -> recordRunning(r, task, updated, assigned)
        AttemptPhase.Finished -> endTask(id, updated.copy(state = TaskState.Done(r.result)))
        AttemptPhase.Failed -> applyFailure(id, updated.copy(failures = updated.failures + 1), assigned)
        AttemptPhase.Stopped -> when (assigned.stopReason) {
            Reason.Cancelled -> endTask(id, updated.copy(state = TaskState.Cancelled))
            else -> requeue(id, updated, r.reason ?: assigned.stopReason ?: Reason.LeaseLapsed, evicted = true)
        }
        AttemptPhase.Refused -> when (assigned.stopReason) {
            Reason.Cancelled -> endTask(id, updated.copy(state = TaskState.Cancelled))
            else -> {
                val rejected = updated.copy(rejections = updated.rejections + 1, rejectedBy = assigned.worker)
                requeue(id, rejected, r.reason ?: Reason.NoCapacity, evicted = false)
            }
        }
    }
}

private fun JobShardStep.recordRunning(
    r: AttemptReport,
    task: TaskRecord,
    updated: TaskRecord,
    assigned: TaskState.Assigned,
) {
    val id = r.id.task
    val newCheckpoint = updated.checkpoint != task.checkpoint && r.progressMillis >= assigned.recordedProgressMillis
    if (assigned.started && !newCheckpoint) return
    var counts = page.counts
    val job = page.jobs.getValue(id.job)
    val firstStart = !assigned.started && task.evictions == 0 && task.failures == 0
    if (firstStart && job.urgent && now.wallMillis > job.dueMillis) {
        counts = counts.add(job.spec.className, "delayed", task.waitReason?.code.orEmpty())
    }
    val recorded = if (newCheckpoint) r.progressMillis else assigned.recordedProgressMillis
    val next = (if (newCheckpoint) updated else task).copy(
        state = assigned.copy(started = true, recordedProgressMillis = recorded),
        rejections = 0,
        rejectedBy = null,
    )
    change(page.withTask(id, next).copy(counts = counts))
}

private fun JobShardStep.applyFailure(id: TaskId, task: TaskRecord, assigned: TaskState.Assigned) {
    if (assigned.stopReason == Reason.Cancelled) {
        endTask(id, task.copy(state = TaskState.Cancelled))
    } else if (task.failures >= settings.maxFailures) {
        endTask(id, task.copy(state = TaskState.Failed(Reason.WorkFailed)))
    } else {
        val avoid = (task.failedOn + assigned.worker).distinct().takeLast(settings.maxFailures)
        requeue(id, task.copy(failedOn = avoid), Reason.WorkFailed, evicted = false)
    }
}

private fun JobShardStep.endTask(id: TaskId, task: TaskRecord) {
    state = state.copy(assigned = state.assigned.remove(id), sentCommands = state.sentCommands.remove(id))
    change(page.withTask(id, task))
    recordJobEnd(id.job)
}

/** Requeues a task whose attempt is guaranteed to have ended. */
internal fun JobShardStep.requeue(id: TaskId, task: TaskRecord, reason: Reason, evicted: Boolean) {
    val job = page.jobs.getValue(id.job)
    val doublings = (task.rejections - 1).coerceIn(0, MAX_BACKOFF_DOUBLINGS)
    val delayMillis = if (evicted) 0 else settings.rejectionRetryDelay.inWholeMilliseconds shl doublings
    val next = task.copy(
        state = TaskState.Queued,
        evictions = task.evictions + if (evicted) 1 else 0,
        notBeforeMillis = now.wallMillis + delayMillis,
        waitReason = reason,
    )
    state = state.copy(
        assigned = state.assigned.remove(id),
        queued = state.queued.add(id),
        sentCommands = state.sentCommands.remove(id),
    )
    val counts = if (evicted) page.counts.add(job.spec.className, "evicted", reason.code) else page.counts
    change(page.withTask(id, next).copy(counts = counts))
}

/** Limits the backoff after rejections to eight times the first delay, so that urgent tasks are retried in time. */
private const val MAX_BACKOFF_DOUBLINGS = 3
