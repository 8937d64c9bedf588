package org.camphorhall.core.agent

import org.camphorhall.core.model.AttemptId
import org.camphorhall.core.model.MonotonicInstant
import org.camphorhall.core.model.Reason
import org.camphorhall.core.model.Resources
import kotlin.math.ceil

/** An attempt that is active, or whose termination the shard owner has not acknowledged yet. */
public data class TrackedAttempt(
    val id: AttemptId,
    val shard: Int,
    val spec: TaskSpec,
    val phase: AttemptPhase,
    /** End of the lease on the agent's clock. */
    val leaseUntil: MonotonicInstant,
    /** Lease deadline that was last sent to the runtime. */
    val runtimeDeadline: MonotonicInstant,
    val acceptedAt: MonotonicInstant,
    /** Greatest owner epoch that the runtime has recorded for the attempt; it survives a restart of the agent. */
    val ownerEpoch: Long = id.epoch,
    val startedAt: MonotonicInstant? = null,
    val progressMillis: Long = 0,
    val checkpoint: String? = null,
    val result: String? = null,
    /** Why the attempt is stopping, or terminated without finishing. */
    val reason: Reason? = null,
    /** Fraction of the declared processors that the runtime lets the task use, from 0 to 1. */
    val cpuShare: Double = 1.0,
    /** Fraction that was sent to the runtime and is not confirmed yet; null when no change is pending. */
    val pendingShare: Double? = null,
    /** Time of the last change of the share. */
    val shareChangedAt: MonotonicInstant = acceptedAt,
) {
    /** Resources that the attempt is charged for; none when it has terminated. */
    public val charged: Resources get() = if (phase.active) chargedAt(cpuShare) else Resources.None

    /** Part of [charged] that a pending stop or throttle will free. */
    public val pendingRelease: Resources
        get() = when {
            phase == AttemptPhase.Stopping -> charged
            pendingShare != null -> charged - chargedAt(minOf(pendingShare, cpuShare))
            else -> Resources.None
        }

    private fun chargedAt(share: Double): Resources =
        spec.resources.copy(cpuMillis = ceil(spec.resources.cpuMillis * share).toLong())
}
