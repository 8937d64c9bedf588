package org.camphorhall.core.agent

import org.camphorhall.core.model.Reason

/** Stops attempts whose lease expired, and resends stops, starts and throttles that the runtime has not confirmed. */
internal fun AgentStep.checkLeases() {
    for (a in state.attempts.values) {
        when {
            !a.phase.active -> continue
            a.phase == AttemptPhase.Stopping -> actions += AgentAction.StopTask(a.id)
            a.leaseUntil <= now -> stopAttempt(a.id, Reason.LeaseLapsed)
            a.pendingShare != null ->
                actions += AgentAction.ThrottleTask(a.id, a.pendingShare, a.shareChangedAt.nanos)
            a.phase == AttemptPhase.Starting -> actions += AgentAction.StartTask(a.id, a.spec, a.leaseUntil)
        }
    }
}
