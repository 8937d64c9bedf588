package org.camphorhall.core.shard

import org.camphorhall.core.model.Reason
import org.camphorhall.core.model.TaskId

/** Requeues tasks whose lease has surely expired, and repeats starts and stops that were not confirmed. */
internal fun JobShardStep.checkAssignedTasks() {
    val starts = mutableListOf<TaskId>()
    val stops = mutableListOf<TaskId>()
    for (id in state.assigned) {
        val task = page.task(id) ?: continue
        val a = task.state as? TaskState.Assigned ?: continue
        // An attempt that is not durable was not sent, so the last grant to its worker says nothing about its lease.
        if (!state.commit.durable.isCurrent(a.id)) continue
        if (isLeaseExpired(a)) {
            expireLease(id, task, a)
        } else {
            if (a.stopReason != null && isRetryDue(id)) stops += id
            if (a.stopReason == null && needsStart(id, a)) starts += id
        }
    }
    sendCommands(starts, stops)
    for (id in stops) recordSentStop(id)
}

private fun JobShardStep.isRetryDue(id: TaskId): Boolean =
    state.sentCommands[id]?.let { now.mono - it.sentAt >= settings.commandRetryDelay } ?: true

private fun JobShardStep.needsStart(id: TaskId, a: TaskState.Assigned): Boolean {
    if (!a.started) return isRetryDue(id)
    // A new incarnation of the agent says whether it found the attempt in the runtime's inventory.
    val incarnation = view.workers[a.worker]?.incarnation ?: return false
    // The question may get lost, so it is repeated for as long as the attempt is assigned.
    return incarnation != a.incarnation && (incarnation != state.sentCommands[id]?.incarnation || isRetryDue(id))
}

private fun JobShardStep.recordSentStop(id: TaskId) {
    val incarnation = (page.task(id)?.state as? TaskState.Assigned)?.incarnation ?: return
    state = state.copy(sentCommands = state.sentCommands.put(id, SentCommand(now.mono, incarnation)))
}

private fun JobShardStep.expireLease(id: TaskId, task: TaskRecord, a: TaskState.Assigned) {
    if (a.stopReason == Reason.Cancelled) {
        state = state.copy(assigned = state.assigned.remove(id), sentCommands = state.sentCommands.remove(id))
        change(page.withTask(id, task.copy(state = TaskState.Cancelled)))
        recordJobEnd(id.job)
    } else {
        requeue(id, task, Reason.LeaseLapsed, evicted = a.started)
    }
}

/** Tells whether the lease of the attempt has surely expired on the agent's clock, whoever renewed it last. */
internal fun JobShardStep.isLeaseExpired(a: TaskState.Assigned): Boolean {
    val grant = state.leaseGrants[a.worker]
    val fenced = a.id.epoch == state.commit.epoch || (grant?.acceptedEpoch ?: 0) >= state.commit.epoch
    val own = (grant?.sentAt ?: state.acquiredAt) +
        settings.taskLease * (1 + settings.maxClockDrift) + settings.leaseMargin
    // Until the worker has accepted this epoch, an earlier owner may go on renewing for its grace.
    val earlier = state.acquiredAt +
        (settings.ownerGrace + settings.taskLease) * (1 + settings.maxClockDrift) + settings.leaseMargin
    return now.mono > if (fenced) own else maxOf(own, earlier)
}
