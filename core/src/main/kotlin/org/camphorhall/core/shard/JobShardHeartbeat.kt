package org.camphorhall.core.shard

import org.camphorhall.core.agent.StopCommand
import org.camphorhall.core.model.AttemptId
import org.camphorhall.core.model.Reason

internal fun JobShardStep.handleHeartbeat(e: JobShardEvent.HeartbeatReceived) {
    if (!mayGrant) {
        respondToHeartbeat(e, renew = false, emptyList(), emptyList())
        return
    }
    applyReports(e.worker, e.reports)
    // Only what is durable may be acknowledged: the agent forgets an acknowledged attempt.
    val durable = state.commit.durable
    val past = e.reports.filter { !page.isCurrent(it.id) && it.id.epoch <= state.commit.epoch }
    val acks = past.filter { !it.phase.active && !durable.isCurrent(it.id) }.map { it.id }
    val stops = past.filter { it.phase.active }.map { stopCommand(it.id, Reason.Stale) } + requestedStops(e)
    val known = state.leaseGrants[e.worker]
    val accepted = maxOf(known?.acceptedEpoch ?: 0, e.acceptedEpoch)
    state = state.copy(leaseGrants = state.leaseGrants.put(e.worker, LeaseGrant(now.mono, accepted)))
    respondToHeartbeat(e, renew = true, acks, stops)
}

private fun JobShardStep.respondToHeartbeat(
    e: JobShardEvent.HeartbeatReceived,
    renew: Boolean,
    acks: List<AttemptId>,
    stops: List<StopCommand>,
) {
    val epoch = state.commit.epoch
    actions += JobShardAction.RespondToHeartbeat(e.correlationId, state.shard, epoch, renew, acks, stops)
}

private fun JobShardStep.requestedStops(e: JobShardEvent.HeartbeatReceived): List<StopCommand> =
    e.reports.mapNotNull { r ->
        val assigned = state.commit.durable.task(r.id.task)?.state as? TaskState.Assigned
        assigned?.takeIf { it.id == r.id && it.stopReason != null && r.phase.active }
            ?.let { stopCommand(r.id, it.stopReason!!) }
    }
