package org.camphorhall.core.agent

import org.camphorhall.core.model.Reason
import org.camphorhall.core.model.RequestId
import org.camphorhall.core.model.RequestOutcome
import org.camphorhall.core.model.Resources
import org.camphorhall.core.policy.ReclaimStep
import org.camphorhall.core.policy.ServiceTimeEstimate

/** Dispatches queued requests in policy order while slots and capacity remain. */
internal fun AgentStep.dispatchQueued() {
    if (state.queue.isEmpty()) return
    val capacity = state.capacity ?: return
    var reclaimed = false
    for (q in state.queue) {
        if (q.request.deadline <= now || !policy.slots(state, q, now)) continue
        val backend = state.backends.values.filter { it.hasSlot(q.request.className, now) }.minByOrNull { it.running }
            ?: continue
        val after = state.used + backend.perRequest
        if (after fitsIn capacity) {
            dispatch(q, backend)
        } else if (!reclaimed) {
            reclaimed = true
            reclaim(after - capacity)
        }
    }
}

private fun AgentStep.dispatch(q: QueuedRequest, backend: Backend) {
    val run = RunningRequest(q.request, backend.id, backend.perRequest, q.enqueuedAt, now)
    state = state.copy(
        queue = state.queue.remove(q),
        running = state.running.put(q.request.id, run),
        backends = state.backends.put(backend.id, backend.copy(running = backend.running + 1)),
    )
    actions += AgentAction.Dispatch(q.request, backend.id, backend.url)
}

/** Reclaims [missing] from batch tasks, less what pending stops and throttles will free. */
private fun AgentStep.reclaim(missing: Resources) {
    val pendingRelease = state.attempts.values.fold(Resources.None) { sum, a -> sum + a.pendingRelease }
    val needed = missing - pendingRelease
    if (needed fitsIn Resources.None) return
    for (step in policy.reclaim(state, needed, now)) {
        when (step) {
            is ReclaimStep.Throttle -> changeShare(step.id, step.cpuShare)
            is ReclaimStep.Evict -> stopAttempt(step.id, Reason.LatencyCriticalLoad)
        }
    }
}

internal fun AgentStep.backendAnswered(id: RequestId, answer: BackendAnswer) {
    val r = state.running[id] ?: return
    val backend = state.backends[r.backend]
    state = state.copy(running = state.running.remove(id))
    if (backend != null) {
        state = state.copy(backends = state.backends.put(r.backend, backend.copy(running = backend.running - 1)))
    }
    val runTime = now - r.dispatchedAt
    if (answer == BackendAnswer.Completed) {
        val estimate = state.estimates[r.request.className] ?: ServiceTimeEstimate()
        val updated = estimate.add(runTime.inWholeMicroseconds)
        state = state.copy(estimates = state.estimates.put(r.request.className, updated))
    }
    if (answer == BackendAnswer.NotReached) recordRequest(id, r.request.deadline, notRun = !r.answered)
    if (r.answered) return
    val outcome = when (answer) {
        BackendAnswer.Completed -> RequestOutcome.Completed
        BackendAnswer.Failed -> RequestOutcome.Failed(Reason.WorkFailed)
        BackendAnswer.NotReached -> RequestOutcome.NotRun(Reason.Unreachable)
        BackendAnswer.Lost -> RequestOutcome.Unknown(Reason.ConnectionLost)
    }
    actions += AgentAction.Respond(id, outcome, r.dispatchedAt - r.enqueuedAt, runTime)
}
