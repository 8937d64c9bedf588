package org.camphorhall.agent

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.channels.Channel
import org.camphorhall.core.agent.AgentAction
import org.camphorhall.core.agent.AgentEvent
import org.camphorhall.core.agent.AgentMachine
import org.camphorhall.core.agent.AgentState
import org.camphorhall.core.model.MonotonicInstant

private val logger = KotlinLogging.logger {}

/** Passes events to the agent's state machine one at a time and passes the resulting actions to [perform]. */
internal class AgentLoop(
    private val machine: AgentMachine,
    initial: AgentState,
    private val clock: () -> MonotonicInstant,
    private val onConfig: (version: Long) -> Unit,
    private val perform: (AgentAction) -> Unit,
) {
    private val events = Channel<AgentEvent>(Channel.UNLIMITED)

    /** State after the last event; safe to read from any thread. */
    @Volatile
    var state: AgentState = initial
        private set

    /** Enqueues an event. The queue needs no bound of its own: the limits on requests and tasks bound it. */
    fun send(event: AgentEvent) {
        events.trySend(event)
    }

    /** Handles events until the process ends. */
    suspend fun run() {
        for (event in events) {
            logger.trace { "event $event" }
            val t = machine.step(state, event, clock())
            val before = state.config.version
            state = t.state
            if (state.config.version > before) onConfig(state.config.version)
            t.actions.forEach(perform)
        }
    }
}
