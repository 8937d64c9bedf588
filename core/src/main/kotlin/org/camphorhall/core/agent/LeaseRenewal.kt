package org.camphorhall.core.agent

import org.camphorhall.core.model.AttemptId
import org.camphorhall.core.model.MonotonicInstant
import org.camphorhall.core.model.Reason

internal fun AgentStep.heartbeatAnswered(e: AgentEvent.HeartbeatAnswered) {
    for ((shard, epoch) in e.renewals) renewShard(shard, epoch, e)
    for (s in e.stops) {
        if (s.epoch >= (state.shardEpochs[s.shard] ?: 0)) stopAttempt(s.id, s.reason)
    }
    for (id in e.acknowledged) acknowledge(id, e.renewals)
}

private fun AgentStep.renewShard(shard: Int, epoch: Long, e: AgentEvent.HeartbeatAnswered) {
    // A renewal by an earlier owner is ignored, because the later owner does not take it into account.
    if (epoch < (state.shardEpochs[shard] ?: 0)) return
    state = state.copy(shardEpochs = state.shardEpochs.put(shard, epoch))
    val until = e.sentAt + settings.taskLease
    val stopped = e.stops.map { it.id }
    for (a in state.attempts.values) {
        if (a.shard != shard || !a.phase.active || a.id in stopped) continue
        // The owner renews only the attempts that the heartbeat listed.
        if (a.acceptedAt > e.sentAt) continue
        when {
            // The owner may have moved the task already, so an expired lease is never renewed.
            a.leaseUntil <= now -> stopAttempt(a.id, Reason.LeaseLapsed)
            until > a.leaseUntil || epoch > a.ownerEpoch -> extend(a, maxOf(until, a.leaseUntil), epoch)
        }
    }
}

private fun AgentStep.extend(a: TrackedAttempt, until: MonotonicInstant, epoch: Long) {
    val recentlyExtended = a.runtimeDeadline - now > settings.taskLease / 2 && epoch <= a.ownerEpoch
    if (a.phase != AttemptPhase.Running || recentlyExtended) {
        putAttempt(a.copy(leaseUntil = until))
        return
    }
    putAttempt(a.copy(leaseUntil = until, runtimeDeadline = until))
    actions += AgentAction.ExtendTask(a.id, until, epoch)
}

private fun AgentStep.acknowledge(id: AttemptId, renewals: Map<Int, Long>) {
    val attempt = state.attempts[id.task]?.takeIf { it.id == id && !it.phase.active } ?: return
    // An earlier owner does not track the attempts of a later one, so only the latest owner may acknowledge.
    val epoch = renewals[attempt.shard] ?: return
    if (epoch < (state.shardEpochs[attempt.shard] ?: 0)) return
    state = state.copy(
        attempts = state.attempts.remove(attempt.id.task),
        tombstones = state.tombstones.put(id.task, Tombstone(id, now + settings.taskLease)),
    )
    actions += AgentAction.ForgetTask(id)
}
