package org.camphorhall.core.agent

import org.camphorhall.core.model.MonotonicInstant
import org.camphorhall.core.model.Transition
import org.camphorhall.core.policy.AgentPolicy

/** State machine of an agent. It is pure: the same state, event and time give the same transition. */
public interface AgentMachine {
    /** Handles [event] at [now] on the agent's clock. */
    public fun step(state: AgentState, event: AgentEvent, now: MonotonicInstant): Transition<AgentState, AgentAction>
}

/** Creates the state machine of an agent. */
public fun AgentMachine(
    settings: AgentSettings = AgentSettings(),
    policy: AgentPolicy = AgentPolicy(),
): AgentMachine = RealAgentMachine(settings, policy)
