package org.camphorhall.core.agent

import org.camphorhall.core.model.AttemptId

internal fun AgentStep.taskThrottled(id: AttemptId, order: Long) {
    val attempt = state.attempts[id.task]?.takeIf { it.id == id && it.phase.active } ?: return
    // A late confirmation of an earlier change says nothing about the present one.
    if (attempt.pendingShare != null && attempt.shareChangedAt.nanos == order) {
        putAttempt(attempt.copy(cpuShare = attempt.pendingShare, pendingShare = null))
    }
}

/**
 * Lets an attempt use [cpuShare] of its declared processors. It is charged the larger share until the runtime has
 * confirmed, and one change ends before the next begins. The time of the change orders it at the runtime, so a call
 * that arrives late cannot bring an earlier share back.
 */
internal fun AgentStep.changeShare(id: AttemptId, cpuShare: Double) {
    val attempt = state.attempts[id.task]?.takeIf { it.id == id && it.phase == AttemptPhase.Running } ?: return
    if (attempt.pendingShare != null || attempt.cpuShare == cpuShare || now <= attempt.shareChangedAt) return
    val charged = maxOf(attempt.cpuShare, cpuShare)
    putAttempt(attempt.copy(cpuShare = charged, pendingShare = cpuShare, shareChangedAt = now))
    actions += AgentAction.ThrottleTask(id, cpuShare, order = now.nanos)
}

/** Gives unused processors back to throttled attempts. */
internal fun AgentStep.restoreShares() {
    val capacity = state.capacity ?: return
    for (step in policy.restore(state, now)) {
        val attempt = state.attempts[step.id.task] ?: continue
        val after = state.used - attempt.charged + attempt.copy(cpuShare = step.cpuShare).charged
        if (step.cpuShare > attempt.cpuShare && after fitsIn capacity) changeShare(step.id, step.cpuShare)
    }
}
