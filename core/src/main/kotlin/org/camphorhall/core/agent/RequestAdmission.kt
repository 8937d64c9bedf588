package org.camphorhall.core.agent

import org.camphorhall.core.model.ClassName
import org.camphorhall.core.model.MonotonicInstant
import org.camphorhall.core.model.Reason
import org.camphorhall.core.model.RequestId
import org.camphorhall.core.model.RequestOutcome
import org.camphorhall.core.policy.DemandEstimate

internal fun AgentStep.requestArrived(r: Request, incarnation: Long) {
    // A restart loses the history of request ids, so a message to an earlier incarnation is never admitted.
    if (incarnation != state.incarnation) {
        actions += AgentAction.Respond(r.id, RequestOutcome.NotRun(Reason.Stale))
        return
    }
    val earlier = state.recentRequests[r.id]
    if (earlier != null) {
        val outcome = if (earlier.notRun) {
            RequestOutcome.NotRun(Reason.Duplicate)
        } else {
            RequestOutcome.Unknown(Reason.Duplicate)
        }
        actions += AgentAction.Respond(r.id, outcome)
        return
    }
    recordDemand(r.className)
    val rejection = rejectionOf(r)
    recordRequest(r.id, r.deadline, notRun = rejection != null)
    if (rejection != null) {
        actions += AgentAction.Respond(r.id, rejection)
        return
    }
    val queued = QueuedRequest(r, now, state.arrivals, state.dueTime(r, now))
    val index = state.queue.binarySearch(queued, policy.queueOrder).let { if (it < 0) -it - 1 else it }
    state = state.copy(queue = state.queue.add(index, queued), arrivals = state.arrivals + 1)
}

private fun AgentStep.recordDemand(name: ClassName) {
    val before = state.queue.count { it.request.className == name } +
        state.running.values.count { it.request.className == name }
    val current = state.demand[name] ?: DemandEstimate()
    state = state.copy(demand = state.demand.put(name, current.recordArrival(before, now)))
}

private fun AgentStep.rejectionOf(r: Request): RequestOutcome.NotRun? = when {
    state.draining -> RequestOutcome.NotRun(Reason.Draining)
    state.capacity == null || now < state.admissionStartsAt -> RequestOutcome.NotRun(Reason.NoBackendServer)
    r.deadline <= now -> RequestOutcome.NotRun(Reason.DeadlinePassed)
    state.backends.values.none { it.acceptsRequests(now) && r.className in it.classes } ->
        RequestOutcome.NotRun(Reason.NoBackendServer)
    state.queue.size >= settings.maxQueue -> RequestOutcome.NotRun(Reason.QueueFull)
    else -> policy.admission(state, r, now)
}

internal fun AgentStep.recordRequest(id: RequestId, deadline: MonotonicInstant, notRun: Boolean) {
    val until = maxOf(deadline, now) + settings.requestHistory
    state = state.copy(recentRequests = state.recentRequests.put(id, RecentRequest(until, notRun)))
}
