package org.camphorhall.core.shard

import org.camphorhall.core.model.Reason
import org.camphorhall.core.model.TaskId

/** Requeues tasks whose lease is guaranteed to have expired, and resends unconfirmed starts and stops. */
internal fun JobShardStep.checkAssignedTasks() {
    val starts = mutableListOf<TaskId>()
    val stops = mutableListOf<TaskId>()
    for (id in state.assigned) {
        val task = page.task(id) ?: continue
        val a = task.state as? TaskState.Assigned ?: continue
        // An attempt that is not durable has not been sent, so the last grant to its worker does not apply to it.
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
    // A new incarnation of the agent reports whether the runtime's inventory contains the attempt.
    val incarnation = view.workers[a.worker]?.incarnation ?: return false
    // The start may be lost in transit, so it is resent while the attempt is assigned.
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

/** Whether the attempt's lease is guaranteed to have expired on the agent's clock, whichever owner renewed it last. */
internal fun JobShardStep.isLeaseExpired(a: TaskState.Assigned): Boolean {
    val grant = state.leaseGrants[a.worker]
    // An earlier incarnation does not know the attempts of its successor, so its confirmation does not cover them.
    val fenced = a.id.epoch == state.commit.epoch || grant?.fencedIncarnation?.let { it >= a.incarnation } == true
    val ownGrantsExpireAt = (grant?.sentAt ?: state.acquiredAt) +
        settings.taskLease * (1 + settings.maxClockDrift) + settings.leaseMargin
    // Until the worker accepts this epoch, an earlier owner may renew the lease within its grace.
    val earlierGrantsExpireAt = state.acquiredAt +
        (settings.ownerGrace + settings.taskLease) * (1 + settings.maxClockDrift) + settings.leaseMargin
    return now.mono > if (fenced) ownGrantsExpireAt else maxOf(ownGrantsExpireAt, earlierGrantsExpireAt)
}
