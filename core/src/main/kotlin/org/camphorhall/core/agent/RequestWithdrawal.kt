package org.camphorhall.core.agent

import org.camphorhall.core.model.Reason
import org.camphorhall.core.model.RequestOutcome

internal fun AgentStep.requestWithdrawn(e: AgentEvent.RequestWithdrawn) {
    val id = e.id
    if (e.incarnation != state.incarnation) {
        // The earlier incarnation may have dispatched the request.
        actions += AgentAction.RespondToWithdrawal(id, notRun = false)
        return
    }
    if (id !in state.recentRequests && e.deadline + settings.requestHistory <= now) {
        // The request may have run: its record may have expired already.
        actions += AgentAction.RespondToWithdrawal(id, notRun = false)
        return
    }
    val index = state.queue.indexOfFirst { it.request.id == id }
    if (index >= 0) {
        val queued = state.queue[index]
        state = state.copy(queue = state.queue.removeAt(index))
        recordRequest(id, queued.request.deadline, notRun = true)
        actions += AgentAction.Respond(id, RequestOutcome.NotRun(Reason.Cancelled), now - queued.enqueuedAt)
    } else if (id !in state.recentRequests) {
        // The withdrawal overtook the request, which is rejected as a duplicate when it arrives.
        recordRequest(id, e.deadline, notRun = true)
    }
    actions += AgentAction.RespondToWithdrawal(id, state.recentRequests.getValue(id).notRun)
}
