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
    /** Maximum number of requests that it processes concurrently. */
    val slots: Int,
    /** Resources that one running request uses. */
    val perRequest: Resources,
    /** Time at which the announcement expires unless it is repeated. */
    val expiresAt: MonotonicInstant,
    val leaving: Boolean = false,
    /** Requests that this agent dispatched; in an announcement, all requests that the backend server is processing. */
    val running: Int = 0,
    /** Upper bound on the requests of an earlier agent incarnation that the backend server still processes. */
    val orphans: Int = 0,
) {
    /** Returns whether the backend server may receive new requests at [now]. */
    public fun acceptsRequests(now: MonotonicInstant): Boolean = !leaving && now < expiresAt

    /** Returns whether a request of [name] can be dispatched at [now]. */
    public fun hasSlot(name: ClassName, now: MonotonicInstant): Boolean =
        acceptsRequests(now) && name in classes && running + orphans < slots
}
