package org.camphorhall.core.agent

import org.camphorhall.core.model.AttemptId

internal fun AgentStep.taskThrottled(id: AttemptId, order: Long) {
    val attempt = state.attempts[id.task]?.takeIf { it.id == id && it.phase.active } ?: return
    // A delayed confirmation of an earlier change does not confirm the pending one.
    if (attempt.pendingShare != null && attempt.shareChangedAt.nanos == order) {
        putAttempt(attempt.copy(cpuShare = attempt.pendingShare, pendingShare = null))
    }
}

/**
 * Limits an attempt to [cpuShare] of its declared processors. The attempt is charged the larger share until the runtime
 * has confirmed the change, and only one change is pending at a time. The runtime orders changes by their time, so a
 * delayed call cannot restore an earlier share.
 */
internal fun AgentStep.changeShare(id: AttemptId, cpuShare: Double) {
    val attempt = state.attempts[id.task]?.takeIf { it.id == id && it.phase == AttemptPhase.Running } ?: return
    if (attempt.pendingShare != null || attempt.cpuShare == cpuShare || now <= attempt.shareChangedAt) return
    val charged = maxOf(attempt.cpuShare, cpuShare)
    putAttempt(attempt.copy(cpuShare = charged, pendingShare = cpuShare, shareChangedAt = now))
    actions += AgentAction.ThrottleTask(id, cpuShare, order = now.nanos)
}

/** Returns unused processors to throttled attempts. */
internal fun AgentStep.restoreShares() {
    val capacity = state.capacity ?: return
    for (step in policy.restore(state, now)) {
        val attempt = state.attempts[step.id.task] ?: continue
        val after = state.used - attempt.charged + attempt.copy(cpuShare = step.cpuShare).charged
        if (step.cpuShare > attempt.cpuShare && after fitsIn capacity) changeShare(step.id, step.cpuShare)
    }
}
