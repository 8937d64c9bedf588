package org.camphorhall.core.policy

import org.camphorhall.core.model.ClassName
import org.camphorhall.core.model.WorkerId

/** Requirements on the routing of one try. */
public data class RoutingRequest(
    val className: ClassName,
    /** Workers to which the request was already sent. */
    val tried: Set<WorkerId> = emptySet(),
    /** Failure domain of the entry, whose workers are preferred on a tie. */
    val failureDomain: String,
    /** Seed for the sampling of workers. */
    val seed: Long,
)
