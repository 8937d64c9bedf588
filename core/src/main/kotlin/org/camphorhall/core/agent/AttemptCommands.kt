package org.camphorhall.core.agent

import org.camphorhall.core.model.AttemptId
import org.camphorhall.core.model.Reason
import org.camphorhall.core.model.Resources

internal fun AgentStep.commandReceived(c: AgentEvent.CommandReceived) {
    for (s in c.starts) startReceived(s, c)
    // An attempt of a later incarnation may run, so this one must not record that it never does.
    if (c.incarnation <= state.incarnation) c.stops.forEach { stopReceived(it) }
}

private fun AgentStep.startReceived(start: StartCommand, c: AgentEvent.CommandReceived) {
    if (state.capacity == null || c.incarnation != state.incarnation || start.incarnation > c.incarnation) return
    val current = acceptEpoch(start.shard, start.ownerEpoch)
    val until = c.anchor + settings.taskLease
    // A start whose lease has already expired is a delayed message; its owner may have moved the task.
    if (until <= now || isOutdated(start.id) || state.attempts[start.id.task]?.phase?.active == true) return
    val rejection = when {
        // The sender no longer owns the shard. The report of this rejection lets the later owner assign the task again.
        !current -> Reason.Stale
        start.incarnation != state.incarnation -> Reason.AgentRestarted
        state.draining -> Reason.Draining
        now < state.admissionStartsAt -> Reason.NoCapacity
        !hasCapacityFor(start.spec.resources) -> Reason.NoCapacity
        else -> null
    }
    val phase = if (rejection == null) AttemptPhase.Starting else AttemptPhase.Refused
    val attempt = TrackedAttempt(start.id, start.shard, start.spec, phase, until, until, now, reason = rejection)
    state.attempts[start.id.task]?.let { actions += AgentAction.ForgetTask(it.id) }
    putAttempt(attempt)
    if (rejection == null) actions += AgentAction.StartTask(start.id, start.spec, until)
}

private fun AgentStep.hasCapacityFor(task: Resources): Boolean {
    val capacity = state.capacity ?: return false
    return task + state.committed + policy.headroom(state, now) fitsIn capacity
}

/** Returns whether [id] is not newer than the attempt of its task that is tracked or was acknowledged. */
private fun AgentStep.isOutdated(id: AttemptId): Boolean {
    val tracked = state.attempts[id.task]?.id
    val acknowledged = state.tombstones[id.task]?.id
    return (tracked != null && !id.supersedes(tracked)) || (acknowledged != null && !id.supersedes(acknowledged))
}

/** Records [epoch] as the greatest of [shard]; returns false when a later epoch was accepted before. */
internal fun AgentStep.acceptEpoch(shard: Int, epoch: Long): Boolean {
    val current = state.shardEpochs[shard] ?: 0
    if (epoch > current) state = state.copy(shardEpochs = state.shardEpochs.put(shard, epoch))
    return epoch >= current
}

private fun AgentStep.stopReceived(s: StopCommand) {
    if (state.capacity == null || !acceptEpoch(s.shard, s.epoch)) return
    val attempt = state.attempts[s.task]
    when {
        attempt?.id == s.id -> stopAttempt(s.id, s.reason)
        isOutdated(s.id) -> return
        attempt?.phase?.active == true -> return
        else -> {
            // The start has not arrived. The recorded rejection guarantees that the attempt never runs here.
            attempt?.let { actions += AgentAction.ForgetTask(it.id) }
            val spec = TaskSpec(null, null, Resources.None)
            putAttempt(TrackedAttempt(s.id, s.shard, spec, AttemptPhase.Refused, now, now, now, reason = s.reason))
        }
    }
}

internal fun AgentStep.stopAttempt(id: AttemptId, reason: Reason) {
    val attempt = state.attempts[id.task]?.takeIf { it.id == id } ?: return
    if (attempt.phase != AttemptPhase.Running && attempt.phase != AttemptPhase.Starting) return
    putAttempt(attempt.copy(phase = AttemptPhase.Stopping, reason = reason))
    actions += AgentAction.StopTask(id)
}

internal fun AgentStep.stopAllAttempts() {
    for (a in state.attempts.values) stopAttempt(a.id, Reason.Draining)
}

internal fun AgentStep.putAttempt(attempt: TrackedAttempt) {
    state = state.copy(attempts = state.attempts.put(attempt.id.task, attempt))
}
