package org.camphorhall.core.shard

import org.camphorhall.core.config.Configuration
import org.camphorhall.core.model.ClockReading
import org.camphorhall.core.policy.SingleStepPlacementPolicy
import org.camphorhall.core.routing.WorkerSnapshot

/** Mutable state and collected actions of one call to [JobShardMachine.step]. */
internal class JobShardStep(
    var state: JobShardState,
    val now: ClockReading,
    var view: WorkerSnapshot,
    val config: Configuration,
    val settings: ShardSettings,
    val placement: SingleStepPlacementPolicy,
) {
    val actions: MutableList<JobShardAction> = mutableListOf()

    val page: JobPage get() = state.commit.current

    /**
     * Whether this owner may grant task leases: its last store lease renewal is within the owner grace. A later owner
     * waits for this grace before it treats leases of an earlier owner as expired.
     */
    val mayGrant: Boolean get() = state.ready && now.mono < state.storeLeaseRenewedAt + settings.ownerGrace

    fun change(page: JobPage, effects: List<ShardEffect> = emptyList()) {
        state = state.copy(commit = state.commit.change(page, effects))
    }

    fun change(page: JobPage, effect: ShardEffect) = change(page, listOf(effect))
}
