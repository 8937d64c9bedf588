package org.camphorhall.core.policy

import org.camphorhall.core.agent.AgentState
import org.camphorhall.core.model.MonotonicInstant
import org.camphorhall.core.model.Resources

/** Chooses throttles and evictions of batch tasks that free the needed resources for latency-critical requests. */
public typealias ReclaimPolicy = (state: AgentState, needed: Resources, now: MonotonicInstant) -> List<ReclaimStep>
