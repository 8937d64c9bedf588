package org.camphorhall.core.agent

import org.camphorhall.core.model.BackendId
import org.camphorhall.core.model.ClassName
import org.camphorhall.core.model.MonotonicInstant
import org.camphorhall.core.model.Resources

/** A backend server that announced itself to the agent. */
public data class Backend(
    val id: BackendId,
    val classes: Set<ClassName>,
    val url: String,
    /** Requests that it processes at the same time. */
    val slots: Int,
    /** Resources that one request takes while it runs. */
    val perRequest: Resources,
    /** Moment at which the announcement ends unless it is repeated. */
    val expiresAt: MonotonicInstant,
    val leaving: Boolean = false,
    /** Requests that this agent dispatched; in an announcement, all that the backend server processes. */
    val running: Int = 0,
    /** Bound on the requests of an earlier incarnation of the agent that the backend server still processes. */
    val orphans: Int = 0,
) {
    /** Tells whether the backend server may receive new requests at [now]. */
    public fun acceptsRequests(now: MonotonicInstant): Boolean = !leaving && now < expiresAt

    /** Tells whether a request of [name] can be dispatched at [now]. */
    public fun hasSlot(name: ClassName, now: MonotonicInstant): Boolean =
        acceptsRequests(now) && name in classes && running + orphans < slots
}
