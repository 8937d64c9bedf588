package org.camphorhall.core.shard

import org.camphorhall.core.agent.StopCommand
import org.camphorhall.core.model.AttemptId
import org.camphorhall.core.model.Reason

internal fun JobShardStep.handleHeartbeat(e: JobShardEvent.HeartbeatReceived) {
    if (!mayGrant) {
        respondToHeartbeat(e, renew = false, emptyList(), emptyList())
        return
    }
    applyReports(e.worker, e.incarnation, e.reports)
    // Only a durable end may be acknowledged: the agent discards an acknowledged attempt.
    val durable = state.commit.durable
    val stale = e.reports.filter { !page.isCurrent(it.id) && it.id.epoch <= state.commit.epoch }
    val acks = stale.filter { !it.phase.active && !durable.isCurrent(it.id) }.map { it.id }
    val stops = stale.filter { it.phase.active }.map { stopCommand(it.id, Reason.Stale) } + requestedStops(e)
    val fencedBefore = state.leaseGrants[e.worker]?.fencedIncarnation
    val fenced = listOfNotNull(fencedBefore, e.incarnation.takeIf { e.acceptedEpoch >= state.commit.epoch }).maxOrNull()
    state = state.copy(leaseGrants = state.leaseGrants.put(e.worker, LeaseGrant(now.mono, fenced)))
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
