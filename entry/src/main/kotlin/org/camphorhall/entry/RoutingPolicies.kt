package org.camphorhall.entry

import org.camphorhall.core.policy.RoutingPolicy
import org.camphorhall.core.policy.routeByLeastOutstanding
import org.camphorhall.core.policy.routeByPredictedWait
import org.camphorhall.core.policy.routeRoundRobin

/** Routing policies by their names in the settings. All but `default` are baselines for measurements. */
internal val routingPolicies: Map<String, RoutingPolicy> = mapOf(
    "default" to ::routeByPredictedWait,
    "least-outstanding" to ::routeByLeastOutstanding,
    "round-robin" to ::routeRoundRobin,
)
