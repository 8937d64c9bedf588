package org.camphorhall.core.shard

import kotlinx.collections.immutable.toPersistentHashSet
import org.camphorhall.core.model.MonotonicInstant
import org.camphorhall.core.model.Reason
import org.camphorhall.core.model.TaskId

internal fun JobShardStep.poll() {
    if (state.ownershipLost) return
    val (next, call) = state.commit.poll(now.mono)
    state = state.copy(commit = next)
    if (call != null) actions += JobShardAction.CallStore(call)
}

internal fun JobShardStep.recordStoreLeaseRenewal(sentAt: MonotonicInstant) {
    if (sentAt > state.storeLeaseRenewedAt) state = state.copy(storeLeaseRenewedAt = sentAt)
}

internal fun JobShardStep.handlePageResponse(event: PageEvent<JobPage>) {
    val wasEstablished = state.commit.established
    val r = state.commit.handle(event, now.mono, settings.writeInterval, settings.storeRetryDelay)
    state = state.copy(commit = r.commit)
    if (r.ownershipLost) {
        loseShard()
        return
    }
    if (!wasEstablished && r.commit.established) indexTasks()
    if (r.notCommitted) rejectPending(state.commit.pendingEffects)
    performEffects(r.released)
}

private fun JobShardStep.indexTasks() {
    val ids = page.jobs.values.flatMap { j -> j.tasks.mapIndexed { i, t -> j.taskId(i) to t.state } }
    state = state.copy(
        queued = ids.filter { it.second is TaskState.Queued }.map { it.first }.toPersistentHashSet(),
        assigned = ids.filter { it.second is TaskState.Assigned }.map { it.first }.toPersistentHashSet(),
    )
}

private fun JobShardStep.loseShard() {
    state.commit.inFlight?.effects?.forEach { e -> correlationIdOf(e)?.let { inDoubt(it, Reason.ShardMoved) } }
    abandonSubmissions(
        state.commit.pendingEffects.filterIsInstance<ShardEffect.AcknowledgeSubmission>(),
        Reason.ShardMoved,
    )
    state.commit.pendingEffects.forEach { e -> correlationIdOf(e)?.let { inDoubt(it, Reason.ShardMoved) } }
    state = state.copy(ownershipLost = true)
    actions += JobShardAction.OwnershipLost
}

private fun JobShardStep.performEffects(effects: List<ShardEffect>) {
    val starts = mutableListOf<TaskId>()
    val stops = mutableListOf<TaskId>()
    for (e in effects) {
        when (e) {
            is ShardEffect.AcknowledgeSubmission -> actions += JobShardAction.Accepted(e.correlationId, e.job)
            is ShardEffect.AcknowledgeCancellation -> actions += JobShardAction.CancelRecorded(e.correlationId)
            is ShardEffect.SendStart -> if (page.isCurrent(e.id)) starts += e.id.task
            is ShardEffect.SendStop -> stops += e.task
        }
    }
    sendCommands(starts, stops)
}
