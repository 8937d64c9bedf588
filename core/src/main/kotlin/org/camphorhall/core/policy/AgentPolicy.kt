package org.camphorhall.core.policy

import org.camphorhall.core.agent.QueuedRequest

/** Choices of an agent that vary. The rules on capacity, leases and fencing are not among them. */
public class AgentPolicy(
    public val admission: AdmissionPolicy = ::admitByPredictedWait,
    public val queueOrder: Comparator<QueuedRequest> = earliestDeadlineFirst,
    public val slots: SlotPolicy = ::reserveSlotsForShortClasses,
    public val headroom: HeadroomPolicy = ::headroomByRecentRise,
    public val reclaim: ReclaimPolicy = ::throttleThenEvict,
    public val restore: RestorePolicy = ::restoreUnusedCpu,
)
