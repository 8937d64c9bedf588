package org.camphorhall.agent

import org.camphorhall.core.policy.AgentPolicy
import org.camphorhall.core.policy.admitAll
import org.camphorhall.core.policy.anySlot
import org.camphorhall.core.policy.evictNewest
import org.camphorhall.core.policy.firstInFirstOut
import org.camphorhall.core.policy.noHeadroom

/** Policies by the value of the setting `policy`. All but `default` are baselines for measurements. */
internal val policies: Map<String, AgentPolicy> = mapOf(
    "default" to AgentPolicy(),
    "fifo" to AgentPolicy(admission = admitAll, queueOrder = firstInFirstOut, slots = anySlot),
    "evict-newest" to AgentPolicy(headroom = noHeadroom, reclaim = ::evictNewest),
)
