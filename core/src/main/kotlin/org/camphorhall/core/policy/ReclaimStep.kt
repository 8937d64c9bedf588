package org.camphorhall.core.policy

import org.camphorhall.core.model.AttemptId

/** A throttle or an eviction that reclaims resources from a batch task. */
public sealed interface ReclaimStep {
    /** Attempt to throttle or evict. */
    public val id: AttemptId

    /** Limits the attempt to [cpuShare] of its declared processors. */
    public data class Throttle(override val id: AttemptId, val cpuShare: Double) : ReclaimStep

    /** Takes a checkpoint of the attempt and stops it. */
    public data class Evict(override val id: AttemptId) : ReclaimStep
}
