package org.camphorhall.core.agent

import org.camphorhall.core.model.AttemptId
import org.camphorhall.core.model.MonotonicInstant
import org.camphorhall.core.model.Reason
import org.camphorhall.core.model.Resources
import kotlin.math.ceil

/** An attempt that the agent holds, or whose end its owner has not acknowledged yet. */
public data class TrackedAttempt(
    val id: AttemptId,
    val shard: Int,
    val spec: TaskSpec,
    val phase: AttemptPhase,
    /** End of the lease on the agent's clock. */
    val leaseUntil: MonotonicInstant,
    /** Deadline that the runtime was last given. */
    val runtimeDeadline: MonotonicInstant,
    val acceptedAt: MonotonicInstant,
    /** Greatest owner epoch that the runtime has recorded for the attempt; it outlives a restart of the agent. */
    val ownerEpoch: Long = id.epoch,
    val startedAt: MonotonicInstant? = null,
    val progressMillis: Long = 0,
    val checkpoint: String? = null,
    val result: String? = null,
    /** Why the attempt is stopping, or ended without finishing. */
    val reason: Reason? = null,
    /** Part of the declared processors that the runtime lets the task use, from 0 to 1. */
    val cpuShare: Double = 1.0,
    /** Part that the runtime was told to apply and has not confirmed; null when there is none. */
    val pendingShare: Double? = null,
    /** Moment of the last change of the share. */
    val shareChangedAt: MonotonicInstant = acceptedAt,
) {
    /** Resources that the attempt takes from the worker's capacity. */
    public val charged: Resources get() = if (phase.active) chargedAt(cpuShare) else Resources.None

    /** Part of [charged] that a stop or a throttle under way will free. */
    public val pendingRelease: Resources
        get() = when {
            phase == AttemptPhase.Stopping -> charged
            pendingShare != null -> charged - chargedAt(minOf(pendingShare, cpuShare))
            else -> Resources.None
        }

    private fun chargedAt(share: Double): Resources =
        spec.resources.copy(cpuMillis = ceil(spec.resources.cpuMillis * share).toLong())
}
