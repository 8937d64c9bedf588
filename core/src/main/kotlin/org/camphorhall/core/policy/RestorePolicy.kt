package org.camphorhall.core.policy

import org.camphorhall.core.agent.AgentState
import org.camphorhall.core.model.MonotonicInstant

/** Chooses the throttled attempts whose shares are raised, with their new shares. */
public typealias RestorePolicy = (state: AgentState, now: MonotonicInstant) -> List<ReclaimStep.Throttle>
