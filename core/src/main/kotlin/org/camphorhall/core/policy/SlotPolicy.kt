package org.camphorhall.core.policy

import org.camphorhall.core.agent.AgentState
import org.camphorhall.core.agent.QueuedRequest
import org.camphorhall.core.model.MonotonicInstant

/** Decides whether a queued request may take a free slot now. */
public typealias SlotPolicy = (state: AgentState, queued: QueuedRequest, now: MonotonicInstant) -> Boolean
