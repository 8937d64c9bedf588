package org.camphorhall.core.policy

import org.camphorhall.core.agent.AgentState
import org.camphorhall.core.model.MonotonicInstant
import org.camphorhall.core.model.Resources

/** Returns the resources that new batch tasks must leave free for latency-critical requests. */
public typealias HeadroomPolicy = (state: AgentState, now: MonotonicInstant) -> Resources
