package org.camphorhall.core.shard

import org.camphorhall.core.config.Configuration
import org.camphorhall.core.model.ClockReading
import org.camphorhall.core.model.Reason
import org.camphorhall.core.model.Transition
import org.camphorhall.core.policy.SingleStepPlacementPolicy
import org.camphorhall.core.routing.WorkerSnapshot

internal class RealJobShardMachine(
    private val settings: ShardSettings,
    private val placement: SingleStepPlacementPolicy,
) : JobShardMachine {
    override fun step(
        state: JobShardState,
        event: JobShardEvent,
        now: ClockReading,
        view: WorkerSnapshot,
        config: Configuration,
    ): Transition<JobShardState, JobShardAction> {
        if (state.ownershipLost) return Transition(state, rejectionOf(event))
        val s = JobShardStep(state, now, view, config, settings, placement)
        when (event) {
            is JobShardEvent.Submit -> s.submit(event)
            is JobShardEvent.Cancel -> s.cancel(event)
            is JobShardEvent.HeartbeatReceived -> s.handleHeartbeat(event)
            is JobShardEvent.CommandResponse -> s.applyReports(event.worker, event.incarnation, event.reports)
            is JobShardEvent.PageResponse -> s.handlePageResponse(event.event)
            is JobShardEvent.StoreLeaseRenewed -> s.recordStoreLeaseRenewal(event.sentAt)
            JobShardEvent.Tick -> s.tick()
        }
        s.poll()
        return Transition(s.state, s.actions)
    }

    private fun rejectionOf(event: JobShardEvent): List<JobShardAction> = when (event) {
        is JobShardEvent.Submit -> listOf(JobShardAction.Rejected(event.correlationId, Reason.ShardMoved))
        is JobShardEvent.Cancel -> listOf(JobShardAction.Rejected(event.correlationId, Reason.ShardMoved))
        else -> emptyList()
    }
}
