package org.camphorhall.core.agent

import org.camphorhall.core.model.Reason
import org.camphorhall.core.model.RequestOutcome
import kotlin.time.Duration

/** Rejects queued requests whose deadline passed, and reports an unknown outcome for running ones. */
internal fun AgentStep.expireRequests() {
    for (q in state.queue.filter { it.request.deadline <= now }) rejectQueued(q, Reason.DeadlinePassed)
    rejectQueuedWithoutBackend()
    for (r in state.running.values.filter { !it.answered && it.request.deadline <= now }) {
        state = state.copy(running = state.running.put(r.request.id, r.copy(answered = true)))
        val outcome = RequestOutcome.Unknown(Reason.DeadlinePassed)
        actions += AgentAction.Respond(r.request.id, outcome, r.dispatchedAt - r.enqueuedAt, now - r.dispatchedAt)
    }
}

internal fun AgentStep.rejectQueuedWithoutBackend() {
    val available = state.backends.values.filter { it.acceptsRequests(now) }
    for (q in state.queue.filter { q -> available.none { q.request.className in it.classes } }) {
        rejectQueued(q, Reason.NoBackendServer)
    }
}

private fun AgentStep.rejectQueued(q: QueuedRequest, reason: Reason) {
    state = state.copy(queue = state.queue.remove(q))
    recordRequest(q.request.id, q.request.deadline, notRun = true)
    actions += AgentAction.Respond(q.request.id, RequestOutcome.NotRun(reason, Duration.ZERO), now - q.enqueuedAt)
}
