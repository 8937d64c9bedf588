package org.camphorhall.core.agent

import org.camphorhall.core.model.BackendId

internal fun AgentStep.backendAnnounced(backend: Backend) {
    val current = state.backends[backend.id]
    // A leave notice stays in force for a late announcement; a restarted backend server announces a new id.
    val merged = backend.copy(
        running = current?.running ?: 0,
        leaving = backend.leaving || current?.leaving ?: false,
        // What runs before the first dispatch of this agent is left from an earlier incarnation, and only ends.
        orphans = minOf(current?.orphans ?: backend.running, backend.running),
    )
    state = state.copy(backends = state.backends.put(backend.id, merged))
}

internal fun AgentStep.backendLeaving(id: BackendId) {
    val current = state.backends[id] ?: return
    state = state.copy(backends = state.backends.put(id, current.copy(leaving = true)))
    rejectQueuedWithoutBackend()
}
