package org.camphorhall.core.agent

import org.camphorhall.core.model.MonotonicInstant

/** A request that waits for a slot. [arrivalNumber] rises in the order of arrival. */
public data class QueuedRequest(
    val request: Request,
    val enqueuedAt: MonotonicInstant,
    val arrivalNumber: Long,
    /** Time by which the request must be answered: its deadline, or the target of its class if that is earlier. */
    val due: MonotonicInstant = request.deadline,
)
