package org.camphorhall.core.agent

import org.camphorhall.core.model.AttemptId
import org.camphorhall.core.model.MonotonicInstant
import org.camphorhall.core.model.Reason

internal fun AgentStep.taskStarted(id: AttemptId) {
    val attempt = state.attempts[id.task]?.takeIf { it.id == id } ?: return
    if (attempt.phase == AttemptPhase.Starting) putAttempt(attempt.copy(phase = AttemptPhase.Running, startedAt = now))
}

internal fun AgentStep.taskRefused(id: AttemptId, reason: Reason) {
    val attempt = state.attempts[id.task]?.takeIf { it.id == id } ?: return
    if (attempt.phase == AttemptPhase.Starting || attempt.startedAt == null && attempt.phase == AttemptPhase.Stopping) {
        putAttempt(attempt.copy(phase = AttemptPhase.Refused, reason = reason))
    }
}

internal fun AgentStep.taskStopped(item: InventoryItem) {
    val attempt = state.attempts[item.id.task]?.takeIf { it.id == item.id && it.phase.active } ?: return
    putAttempt(attempt.updatedFrom(item, now))
}

internal fun AgentStep.taskExtended(id: AttemptId, ownerEpoch: Long) {
    val attempt = state.attempts[id.task]?.takeIf { it.id == id } ?: return
    putAttempt(attempt.copy(ownerEpoch = maxOf(attempt.ownerEpoch, ownerEpoch)))
}

internal fun AgentStep.runtimeReady(e: AgentEvent.RuntimeReady) {
    val admissionStartsAt = if (e.predecessor) now + settings.announceWait else now
    state = state.copy(capacity = e.capacity, admissionStartsAt = admissionStartsAt)
    for (item in e.inventory) {
        if (item.id.task in state.attempts) continue
        val spec = TaskSpec(null, null, item.resources, checkpoint = item.checkpoint)
        val shard = shardOf(item.id.task, settings.shardCount)
        acceptEpoch(shard, maxOf(item.id.epoch, item.ownerEpoch))
        putAttempt(
            TrackedAttempt(
                item.id,
                shard,
                spec,
                AttemptPhase.Running,
                item.deadline,
                item.deadline,
                acceptedAt = now,
                startedAt = now,
                // A throttle of the earlier incarnation may still be in force, so the full share is restored.
                pendingShare = 1.0,
            ).updatedFrom(item, now),
        )
    }
}

internal fun AgentStep.inventoryRead(e: AgentEvent.InventoryRead) {
    val byTask = e.inventory.groupBy { it.id.task }
    for (attempt in state.attempts.values.filter { it.phase.active }) {
        val item = byTask[attempt.id.task]?.firstOrNull { it.id == attempt.id }
        if (item != null) {
            putAttempt(attempt.updatedFrom(item, now))
        } else if (isMissing(attempt, e.requestedAt)) {
            val reason = attempt.reason ?: Reason.AgentRestarted
            putAttempt(attempt.copy(phase = AttemptPhase.Stopped, reason = reason))
        }
    }
}

/** Returns whether an inventory requested at [requestedAt] would list [attempt] if it were still running. */
private fun isMissing(attempt: TrackedAttempt, requestedAt: MonotonicInstant): Boolean {
    val started = attempt.startedAt ?: return false
    return started < requestedAt
}

private fun TrackedAttempt.updatedFrom(item: InventoryItem, now: MonotonicInstant): TrackedAttempt {
    val keepsStopping = phase == AttemptPhase.Stopping && item.phase == AttemptPhase.Running
    val expired = item.phase == AttemptPhase.Stopped && reason == null
    return copy(
        phase = if (keepsStopping) AttemptPhase.Stopping else item.phase,
        // Only an inventory that is requested after this time is guaranteed to list the attempt.
        startedAt = startedAt ?: now,
        ownerEpoch = maxOf(ownerEpoch, item.ownerEpoch),
        progressMillis = item.progressMillis,
        checkpoint = item.checkpoint ?: checkpoint,
        result = item.result,
        reason = if (expired) Reason.LeaseLapsed else reason,
    )
}
