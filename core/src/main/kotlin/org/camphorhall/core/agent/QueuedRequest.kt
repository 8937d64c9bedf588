package org.camphorhall.core.agent

import org.camphorhall.core.model.MonotonicInstant

/** A request that waits for a slot. [arrivalNumber] is the order of arrival. */
public data class QueuedRequest(
    val request: Request,
    val enqueuedAt: MonotonicInstant,
    val arrivalNumber: Long,
    /** Moment by which the request must be answered: its deadline, or earlier by the target of its class. */
    val due: MonotonicInstant = request.deadline,
)
