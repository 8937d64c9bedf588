package org.camphorhall.core.agent

import org.camphorhall.core.model.BackendId
import org.camphorhall.core.model.MonotonicInstant
import org.camphorhall.core.model.Resources

/** A request that was dispatched to a backend server. It occupies its slot until the backend server has ended it. */
public data class RunningRequest(
    val request: Request,
    val backend: BackendId,
    val resources: Resources,
    val enqueuedAt: MonotonicInstant,
    val dispatchedAt: MonotonicInstant,
    /** Whether the outcome was already reported, because the deadline passed. */
    val answered: Boolean = false,
)
