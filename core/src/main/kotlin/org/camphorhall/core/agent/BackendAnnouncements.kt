package org.camphorhall.core.agent

import org.camphorhall.core.model.BackendId

internal fun AgentStep.backendAnnounced(backend: Backend) {
    val current = state.backends[backend.id]
    // A delayed announcement does not revoke a leave notice; a restarted backend server announces a new id.
    val merged = backend.copy(
        running = current?.running ?: 0,
        leaving = backend.leaving || current?.leaving ?: false,
        // Requests that run before this agent's first dispatch are from an earlier incarnation; their count only falls.
        orphans = minOf(current?.orphans ?: backend.running, backend.running),
    )
    state = state.copy(backends = state.backends.put(backend.id, merged))
}

internal fun AgentStep.backendLeaving(id: BackendId) {
    val current = state.backends[id] ?: return
    state = state.copy(backends = state.backends.put(id, current.copy(leaving = true)))
    rejectQueuedWithoutBackend()
}
