package org.camphorhall.core.routing

import org.camphorhall.core.policy.RoutingPolicy
import org.camphorhall.core.policy.routeByPredictedWait

/** State of the entry that one step of a request depends on. */
public data class RequestContext(
    val snapshot: WorkerSnapshot,
    val budget: RetryBudget,
    val failureDomain: String,
    /** Seed for the sampling of workers. */
    val seed: Long,
    val route: RoutingPolicy = ::routeByPredictedWait,
)
