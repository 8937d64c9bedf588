package org.camphorhall.core.shard

import org.camphorhall.core.agent.AttemptPhase
import org.camphorhall.core.agent.StartCommand
import org.camphorhall.core.agent.StopCommand
import org.camphorhall.core.agent.TaskSpec
import org.camphorhall.core.model.AttemptId
import org.camphorhall.core.model.Reason
import org.camphorhall.core.model.TaskId
import org.camphorhall.core.model.WorkerId
import org.camphorhall.core.routing.WorkerInfo

internal fun JobShardStep.workerHeard(e: JobShardEvent.WorkerHeard) {
    if (!mayGrant) {
        answer(e, renew = false, emptyList(), emptyList())
        return
    }
    applyReports(e.worker, e.reports)
    // Only what is durable may be acknowledged: the agent forgets an acknowledged attempt.
    val durable = state.commit.durable
    val past = e.reports.filter { !book.isCurrent(it.id) && it.id.epoch <= state.commit.epoch }
    val acks = past.filter { !it.phase.active && !durable.isCurrent(it.id) }.map { it.id }
    val stops = past.filter { it.phase.active }.map { stopOf(it.id, Reason.Stale) } + wantedStops(e)
    val known = state.contacts[e.worker]
    val accepted = maxOf(known?.acceptedEpoch ?: 0, e.acceptedEpoch)
    state = state.copy(contacts = state.contacts.put(e.worker, WorkerContact(now.mono, accepted)))
    answer(e, renew = true, acks, stops)
}

private fun JobShardStep.answer(
    e: JobShardEvent.WorkerHeard,
    renew: Boolean,
    acks: List<AttemptId>,
    stops: List<StopCommand>,
) {
    val epoch = state.commit.epoch
    actions += JobShardAction.AnswerHeartbeat(e.reply, state.shard, epoch, renew, acks, stops)
}

private fun JobShardStep.wantedStops(e: JobShardEvent.WorkerHeard): List<StopCommand> = e.reports.mapNotNull { r ->
    val assigned = state.commit.durable.task(r.id.task)?.state as? TaskState.Assigned
    assigned?.takeIf { it.id == r.id && it.stop != null && r.phase.active }?.let { stopOf(r.id, it.stop!!) }
}

private fun JobShardStep.stopOf(id: AttemptId, reason: Reason) =
    StopCommand(id, state.shard, state.commit.epoch, reason)

internal fun JobShardStep.applyReports(worker: WorkerId, reports: List<AttemptReport>) {
    if (!state.ready) return
    for (r in reports) {
        val task = book.task(r.id.task) ?: continue
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
        AttemptPhase.Running, AttemptPhase.Stopping -> noteRunning(r, task, seen, assigned)
        AttemptPhase.Finished -> end(id, seen.copy(state = TaskState.Done(r.result)))
        AttemptPhase.Failed -> failed(id, seen.copy(failures = seen.failures + 1), assigned)
        AttemptPhase.Stopped -> when (assigned.stop) {
            Reason.Cancelled -> end(id, seen.copy(state = TaskState.Cancelled))
            else -> requeue(id, seen, r.reason ?: assigned.stop ?: Reason.LeaseLapsed, evicted = true)
        }
        AttemptPhase.Refused -> when (assigned.stop) {
            Reason.Cancelled -> end(id, seen.copy(state = TaskState.Cancelled))
            else -> {
                val refused = seen.copy(refusals = seen.refusals + 1, refusedBy = assigned.worker)
                requeue(id, refused, r.reason ?: Reason.NoCapacity, evicted = false)
            }
        }
    }
}

private fun JobShardStep.noteRunning(
    r: AttemptReport,
    task: TaskRecord,
    seen: TaskRecord,
    assigned: TaskState.Assigned,
) {
    val id = r.id.task
    val newer = seen.checkpoint != task.checkpoint && r.progressMillis >= assigned.recordedMillis
    if (assigned.started && !newer) return
    var counts = book.counts
    val job = book.jobs.getValue(id.job)
    val first = !assigned.started && task.evictions == 0 && task.failures == 0
    if (first && job.urgent && now.wallMillis > job.dueMillis) {
        counts = counts.add(job.spec.className, "delayed", task.delay?.code.orEmpty())
    }
    val recorded = if (newer) r.progressMillis else assigned.recordedMillis
    val next = (if (newer) seen else task).copy(
        state = assigned.copy(started = true, recordedMillis = recorded),
        refusals = 0,
        refusedBy = null,
    )
    change(book.with(id, next).copy(counts = counts))
}

private fun JobShardStep.failed(id: TaskId, task: TaskRecord, assigned: TaskState.Assigned) {
    if (assigned.stop == Reason.Cancelled) {
        end(id, task.copy(state = TaskState.Cancelled))
    } else if (task.failures >= settings.maxFailures) {
        end(id, task.copy(state = TaskState.Failed(Reason.WorkFailed)))
    } else {
        val avoid = (task.failedOn + assigned.worker).distinct().takeLast(settings.maxFailures)
        requeue(id, task.copy(failedOn = avoid), Reason.WorkFailed, evicted = false)
    }
}

private fun JobShardStep.end(id: TaskId, task: TaskRecord) {
    state = state.copy(assigned = state.assigned.remove(id), sentStarts = state.sentStarts.remove(id))
    change(book.with(id, task))
    noteEnd(id.job)
}

/** Puts a task back into the queue after its attempt surely ended. */
internal fun JobShardStep.requeue(id: TaskId, task: TaskRecord, reason: Reason, evicted: Boolean) {
    val job = book.jobs.getValue(id.job)
    val doublings = (task.refusals - 1).coerceIn(0, MAX_DOUBLINGS)
    val wait = if (evicted) 0 else settings.refusedRetry.inWholeMilliseconds shl doublings
    val next = task.copy(
        state = TaskState.Queued,
        evictions = task.evictions + if (evicted) 1 else 0,
        notBeforeMillis = now.wallMillis + wait,
        delay = reason,
    )
    state = state.copy(
        assigned = state.assigned.remove(id),
        queued = state.queued.add(id),
        sentStarts = state.sentStarts.remove(id),
    )
    val counts = if (evicted) book.counts.add(job.spec.className, "evicted", reason.code) else book.counts
    change(book.with(id, next).copy(counts = counts))
}

/** Sends starts and stops of recorded attempts, one command for each worker. */
internal fun JobShardStep.sendCommands(starts: List<TaskId>, stops: List<TaskId>) {
    if (!mayGrant) return
    val byWorker = (starts + stops).distinct().mapNotNull { id ->
        val a = state.commit.durable.task(id)?.state as? TaskState.Assigned
        a?.let { it.worker to id }
    }.groupBy({ it.first }, { it.second })
    for ((worker, ids) in byWorker) {
        val info = view.workers[worker] ?: continue
        val startIds = ids.filter { it in starts && it !in stops }
        val stopIds = ids.filter { it in stops }
        actions += JobShardAction.Command(
            worker,
            info.address,
            info.incarnation,
            info.heartbeatSentAt,
            startIds.map { startOf(it) },
            stopIds.map { stopOf(assignedTo(it).id, assignedTo(it).stop ?: Reason.Stale) },
        )
        noteSent(worker, info, startIds)
    }
}

private fun JobShardStep.noteSent(worker: WorkerId, info: WorkerInfo, ids: List<TaskId>) {
    if (ids.isEmpty()) return
    val known = state.contacts[worker]?.acceptedEpoch ?: 0
    state = state.copy(
        contacts = state.contacts.put(worker, WorkerContact(now.mono, known)),
        sentStarts = ids.fold(state.sentStarts) { m, id -> m.put(id, SentStart(now.mono, info.incarnation)) },
    )
}

private fun JobShardStep.assignedTo(id: TaskId): TaskState.Assigned =
    state.commit.durable.task(id)?.state as TaskState.Assigned

private fun JobShardStep.startOf(id: TaskId): StartCommand {
    val job = state.commit.durable.jobs.getValue(id.job)
    val task = job.tasks[id.index]
    val spec = TaskSpec(
        className = job.spec.className,
        tenant = job.spec.tenant,
        resources = job.spec.resources,
        payload = job.spec.payload,
        checkpoint = task.checkpoint,
        expectedMillis = job.spec.expectedMillis,
        finishByRemainingMillis = if (job.urgent) null else job.dueMillis - now.wallMillis,
    )
    val assigned = task.state as TaskState.Assigned
    return StartCommand(assigned.id, state.shard, assigned.incarnation, spec, state.commit.epoch)
}

/** Doublings of the wait after refusals: at most eight times the first, so that urgent tasks are tried in time. */
private const val MAX_DOUBLINGS = 3
