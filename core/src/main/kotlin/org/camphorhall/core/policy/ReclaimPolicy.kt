package org.camphorhall.core.policy

import org.camphorhall.core.agent.AgentState
import org.camphorhall.core.model.MonotonicInstant
import org.camphorhall.core.model.Resources

/** Chooses what to take from batch tasks so that [Resources] more become free for latency-critical requests. */
public typealias ReclaimPolicy = (state: AgentState, needed: Resources, now: MonotonicInstant) -> List<ReclaimStep>
