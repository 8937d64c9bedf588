package org.camphorhall.core.routing

import org.camphorhall.core.model.ClassName
import org.camphorhall.core.model.MonotonicInstant
import org.camphorhall.core.model.Reason
import org.camphorhall.core.model.RequestId
import org.camphorhall.core.model.WorkerId

/** State of one request that an entry serves. */
public data class RequestState(
    val id: RequestId,
    val className: ClassName,
    /** Deadline on the clock of the entry. */
    val deadline: MonotonicInstant,
    val idempotent: Boolean,
    /** Tenant and idempotency key; null when the caller gave none. */
    val key: String? = null,
    val phase: RequestPhase = RequestPhase.New,
    /** The pending try, which a withdrawal refers to. */
    val sent: RequestAction.Send? = null,
    val tried: Set<WorkerId> = emptySet(),
    /** Whether an earlier try may have run. */
    val mayHaveRun: Boolean = false,
    /** Why the request is being withdrawn. */
    val withdrawal: Reason? = null,
)

/** Phases of a request at an entry. */
public enum class RequestPhase { New, Claiming, Trying, Withdrawing, Finished }
