package org.camphorhall.core.shard

import org.camphorhall.core.agent.StartCommand
import org.camphorhall.core.agent.StopCommand
import org.camphorhall.core.agent.TaskSpec
import org.camphorhall.core.model.AttemptId
import org.camphorhall.core.model.Reason
import org.camphorhall.core.model.TaskId
import org.camphorhall.core.model.WorkerId
import org.camphorhall.core.routing.WorkerInfo

/** Sends starts and stops of durable attempts, one command per worker. */
internal fun JobShardStep.sendCommands(starts: List<TaskId>, stops: List<TaskId>) {
    if (!mayGrant) return
    val byWorker = (starts + stops).distinct().mapNotNull { id ->
        val a = state.commit.durable.task(id)?.state as? TaskState.Assigned
        a?.let { it.worker to id }
    }.groupBy({ it.first }, { it.second })
    for ((worker, ids) in byWorker) {
        val info = view.workers[worker] ?: continue
        // An earlier incarnation that resumed does not know the attempts of its successor and would reject them.
        val known = ids.filter { durableAssignment(it).incarnation <= info.incarnation }
        if (known.isEmpty()) continue
        val startIds = known.filter { it in starts && it !in stops }
        val stopIds = known.filter { it in stops }
        actions += JobShardAction.Command(
            worker,
            info.address,
            info.incarnation,
            info.heartbeatSentAt,
            startIds.map { startCommand(it) },
            stopIds.map { stopCommand(durableAssignment(it).id, durableAssignment(it).stopReason ?: Reason.Stale) },
        )
        recordSentStarts(worker, info, startIds)
    }
}

private fun JobShardStep.recordSentStarts(worker: WorkerId, info: WorkerInfo, ids: List<TaskId>) {
    if (ids.isEmpty()) return
    val fencedIncarnation = state.leaseGrants[worker]?.fencedIncarnation
    state = state.copy(
        leaseGrants = state.leaseGrants.put(worker, LeaseGrant(now.mono, fencedIncarnation)),
        sentCommands = ids.fold(state.sentCommands) { m, id -> m.put(id, SentCommand(now.mono, info.incarnation)) },
    )
}

private fun JobShardStep.durableAssignment(id: TaskId): TaskState.Assigned =
    state.commit.durable.task(id)?.state as TaskState.Assigned

private fun JobShardStep.startCommand(id: TaskId): StartCommand {
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

internal fun JobShardStep.stopCommand(id: AttemptId, reason: Reason) =
    StopCommand(id, state.shard, state.commit.epoch, reason)
