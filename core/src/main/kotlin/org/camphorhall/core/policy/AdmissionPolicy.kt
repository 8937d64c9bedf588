package org.camphorhall.core.policy

import org.camphorhall.core.agent.AgentState
import org.camphorhall.core.agent.Request
import org.camphorhall.core.model.MonotonicInstant
import org.camphorhall.core.model.RequestOutcome

/** Decides whether a worker accepts a request. Returns null to accept it, or the rejection. */
public typealias AdmissionPolicy = (
    state: AgentState,
    request: Request,
    now: MonotonicInstant,
) -> RequestOutcome.NotRun?
