package org.camphorhall.core.policy

import org.camphorhall.core.agent.QueuedRequest

/** Replaceable decisions of an agent. The rules for capacity, leases and fencing are fixed. */
public class AgentPolicy(
    public val admission: AdmissionPolicy = ::admitByPredictedWait,
    public val queueOrder: Comparator<QueuedRequest> = earliestDeadlineFirst,
    public val slots: SlotPolicy = ::reserveSlotsForShortClasses,
    public val headroom: HeadroomPolicy = ::headroomByRecentRise,
    public val reclaim: ReclaimPolicy = ::throttleThenEvict,
    public val restore: RestorePolicy = ::restoreUnusedCpu,
)
