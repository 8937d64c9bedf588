package org.camphorhall.core.shard

import org.camphorhall.core.agent.AttemptPhase
import org.camphorhall.core.model.Reason
import org.camphorhall.core.model.TaskId
import org.camphorhall.core.model.WorkerId

internal fun JobShardStep.applyReports(worker: WorkerId, reports: List<AttemptReport>) {
    if (!state.ready) return
    for (r in reports) {
        val task = page.task(r.id.task) ?: continue
        val assigned = task.state as? TaskState.Assigned ?: continue
        if (assigned.id == r.id && assigned.worker == worker) applyReport(r, task, assigned)
    }
}

private fun JobShardStep.applyReport(r: AttemptReport, task: TaskRecord, assigned: TaskState.Assigned) {
    val id = r.id.task
    val seen = task.copy(
        checkpoint = r.checkpoint ?: task.checkpoint,
        progressMillis = maxOf(task.progressMillis, r.progressMillis),
    )
    when (r.phase) {
        AttemptPhase.Starting -> Unit
        AttemptPhase.Running, AttemptPhase.Stopping -> recordRunning(r, task, seen, assigned)
        AttemptPhase.Finished -> endTask(id, seen.copy(state = TaskState.Done(r.result)))
        AttemptPhase.Failed -> applyFailure(id, seen.copy(failures = seen.failures + 1), assigned)
        AttemptPhase.Stopped -> when (assigned.stopReason) {
            Reason.Cancelled -> endTask(id, seen.copy(state = TaskState.Cancelled))
            else -> requeue(id, seen, r.reason ?: assigned.stopReason ?: Reason.LeaseLapsed, evicted = true)
        }
        AttemptPhase.Refused -> when (assigned.stopReason) {
            Reason.Cancelled -> endTask(id, seen.copy(state = TaskState.Cancelled))
            else -> {
                val refused = seen.copy(rejections = seen.rejections + 1, rejectedBy = assigned.worker)
                requeue(id, refused, r.reason ?: Reason.NoCapacity, evicted = false)
            }
        }
    }
}

private fun JobShardStep.recordRunning(
    r: AttemptReport,
    task: TaskRecord,
    seen: TaskRecord,
    assigned: TaskState.Assigned,
) {
    val id = r.id.task
    val newer = seen.checkpoint != task.checkpoint && r.progressMillis >= assigned.recordedProgressMillis
    if (assigned.started && !newer) return
    var counts = page.counts
    val job = page.jobs.getValue(id.job)
    val first = !assigned.started && task.evictions == 0 && task.failures == 0
    if (first && job.urgent && now.wallMillis > job.dueMillis) {
        counts = counts.add(job.spec.className, "delayed", task.waitReason?.code.orEmpty())
    }
    val recorded = if (newer) r.progressMillis else assigned.recordedProgressMillis
    val next = (if (newer) seen else task).copy(
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

/** Puts a task back into the queue after its attempt surely ended. */
internal fun JobShardStep.requeue(id: TaskId, task: TaskRecord, reason: Reason, evicted: Boolean) {
    val job = page.jobs.getValue(id.job)
    val doublings = (task.rejections - 1).coerceIn(0, MAX_BACKOFF_DOUBLINGS)
    val wait = if (evicted) 0 else settings.rejectionRetryDelay.inWholeMilliseconds shl doublings
    val next = task.copy(
        state = TaskState.Queued,
        evictions = task.evictions + if (evicted) 1 else 0,
        notBeforeMillis = now.wallMillis + wait,
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

/** Doublings of the wait after refusals: at most eight times the first, so that urgent tasks are tried in time. */
private const val MAX_BACKOFF_DOUBLINGS = 3
