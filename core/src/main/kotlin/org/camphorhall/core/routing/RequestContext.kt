package org.camphorhall.core.routing

import org.camphorhall.core.policy.RoutingPolicy
import org.camphorhall.core.policy.routeByPredictedWait

/** What an entry knows besides the request itself when it decides on one step. */
public data class RequestContext(
    val snapshot: WorkerSnapshot,
    val budget: RetryBudget,
    val failureDomain: String,
    /** Random seed of the routing sample. */
    val seed: Long,
    val route: RoutingPolicy = ::routeByPredictedWait,
)
