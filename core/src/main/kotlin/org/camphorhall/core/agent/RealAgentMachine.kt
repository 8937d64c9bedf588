package org.camphorhall.core.agent

import org.camphorhall.core.model.MonotonicInstant
import org.camphorhall.core.model.Transition
import org.camphorhall.core.policy.AgentPolicy

internal class RealAgentMachine(
    private val settings: AgentSettings,
    private val policy: AgentPolicy,
) : AgentMachine {
    override fun step(
        state: AgentState,
        event: AgentEvent,
        now: MonotonicInstant,
    ): Transition<AgentState, AgentAction> {
        val s = AgentStep(state, now, settings, policy)
        when (event) {
            is AgentEvent.RuntimeReady -> s.runtimeReady(event)
            is AgentEvent.InventoryRead -> s.inventoryRead(event)
            is AgentEvent.BackendAnnounced -> s.backendAnnounced(event.backend)
            is AgentEvent.BackendLeaving -> s.backendLeaving(event.id)
            is AgentEvent.RequestArrived -> s.requestArrived(event.request, event.incarnation)
            is AgentEvent.RequestWithdrawn -> s.requestWithdrawn(event)
            is AgentEvent.BackendAnswered -> s.backendAnswered(event.id, event.answer)
            is AgentEvent.CommandReceived -> s.commandReceived(event)
            is AgentEvent.TaskStarted -> s.taskStarted(event.id)
            is AgentEvent.TaskRefused -> s.taskRefused(event.id, event.reason)
            is AgentEvent.TaskStopped -> s.taskStopped(event.item)
            is AgentEvent.TaskExtended -> s.taskExtended(event.id, event.ownerEpoch)
            is AgentEvent.TaskThrottled -> s.taskThrottled(event.id, event.order)
            is AgentEvent.HeartbeatAnswered -> s.heartbeatAnswered(event)
            is AgentEvent.ConfigReceived -> s.state = s.state.copy(config = s.state.config.apply(event.update))
            AgentEvent.Drain -> s.drain()
            AgentEvent.Tick -> s.tick()
        }
        s.dispatchQueued()
        return Transition(s.state, s.actions)
    }
}

/** Working state of one step, and the actions collected so far. */
internal class AgentStep(
    var state: AgentState,
    val now: MonotonicInstant,
    val settings: AgentSettings,
    val policy: AgentPolicy,
) {
    val actions: MutableList<AgentAction> = mutableListOf()
}

internal fun AgentStep.drain() {
    state = state.copy(draining = true)
    stopAllAttempts()
}

internal fun AgentStep.tick() {
    expireRequests()
    checkLeases()
    restoreShares()
    if ((now - state.lastCleanupAt).inWholeMilliseconds >= CLEANUP_INTERVAL_MILLIS) {
        state = state.copy(
            lastCleanupAt = now,
            recentRequests = state.recentRequests.retainValues { it.until > now },
            tombstones = state.tombstones.retainValues { it.until > now },
            backends = state.backends.retainValues { it.expiresAt > now || it.running > 0 },
        )
    }
}

private const val CLEANUP_INTERVAL_MILLIS = 1_000L
