package org.camphorhall.core.agent

import org.camphorhall.core.model.AttemptId
import org.camphorhall.core.model.MonotonicInstant
import org.camphorhall.core.model.Reason
import org.camphorhall.core.model.Resources

internal fun AgentStep.commandReceived(c: AgentEvent.CommandReceived) {
    for (s in c.starts) startReceived(s, c)
    for (s in c.stops) stopReceived(s)
}

private fun AgentStep.startReceived(start: StartCommand, c: AgentEvent.CommandReceived) {
    if (state.capacity == null || c.incarnation != state.incarnation) return
    val current = acceptEpoch(start.shard, start.ownerEpoch)
    val until = c.anchor + settings.taskLease
    // A start whose lease is already over is a delayed message; its owner may have moved the task.
    if (until <= now || isOutdated(start.id) || state.attempts[start.id.task]?.phase?.active == true) return
    val refusal = when {
        // The sender is no longer the owner; the later owner learns that the attempt never starts here.
        !current -> Reason.Stale
        start.incarnation != state.incarnation -> Reason.AgentRestarted
        state.draining -> Reason.Draining
        now < state.opensAt -> Reason.NoCapacity
        !hasRoomFor(start.spec.resources) -> Reason.NoCapacity
        else -> null
    }
    val phase = if (refusal == null) AttemptPhase.Starting else AttemptPhase.Refused
    val held = HeldAttempt(start.id, start.shard, start.spec, phase, until, until, now, reason = refusal)
    state.attempts[start.id.task]?.let { actions += AgentAction.ForgetTask(it.id) }
    put(held)
    if (refusal == null) actions += AgentAction.StartTask(start.id, start.spec, until)
}

private fun AgentStep.hasRoomFor(task: Resources): Boolean {
    val capacity = state.capacity ?: return false
    return task + state.committed + policy.headroom(state, now) fitsIn capacity
}

/** Tells whether the start [id] belongs to an attempt that is known, was acknowledged or was superseded. */
private fun AgentStep.isOutdated(id: AttemptId): Boolean {
    val held = state.attempts[id.task]?.id
    val buried = state.tombstones[id.task]?.id
    return (held != null && !id.supersedes(held)) || (buried != null && !id.supersedes(buried))
}

private fun AgentStep.acceptEpoch(shard: Int, epoch: Long): Boolean {
    val known = state.shardEpochs[shard] ?: 0
    if (epoch > known) state = state.copy(shardEpochs = state.shardEpochs.put(shard, epoch))
    return epoch >= known
}

private fun AgentStep.stopReceived(s: StopCommand) {
    if (state.capacity == null || !acceptEpoch(s.shard, s.epoch)) return
    val held = state.attempts[s.task]
    when {
        held?.id == s.id -> stopAttempt(s.id, s.reason)
        isOutdated(s.id) -> return
        held?.phase?.active == true -> return
        else -> {
            // The start has not arrived; recording its end makes sure that it never runs here.
            held?.let { actions += AgentAction.ForgetTask(it.id) }
            val spec = TaskSpec(null, null, Resources.None)
            put(HeldAttempt(s.id, s.shard, spec, AttemptPhase.Refused, now, now, now, reason = s.reason))
        }
    }
}

internal fun AgentStep.stopAttempt(id: AttemptId, reason: Reason) {
    val held = state.attempts[id.task]?.takeIf { it.id == id } ?: return
    if (held.phase != AttemptPhase.Running && held.phase != AttemptPhase.Starting) return
    put(held.copy(phase = AttemptPhase.Stopping, reason = reason))
    actions += AgentAction.StopTask(id)
}

internal fun AgentStep.stopAllAttempts() {
    for (a in state.attempts.values) stopAttempt(a.id, Reason.Draining)
}

internal fun AgentStep.taskStarted(id: AttemptId) {
    val held = state.attempts[id.task]?.takeIf { it.id == id } ?: return
    if (held.phase == AttemptPhase.Starting) put(held.copy(phase = AttemptPhase.Running, startedAt = now))
}

internal fun AgentStep.taskRefused(id: AttemptId, reason: Reason) {
    val held = state.attempts[id.task]?.takeIf { it.id == id } ?: return
    if (held.phase == AttemptPhase.Starting || held.startedAt == null && held.phase == AttemptPhase.Stopping) {
        put(held.copy(phase = AttemptPhase.Refused, reason = reason))
    }
}

internal fun AgentStep.taskStopped(item: InventoryItem) {
    val held = state.attempts[item.id.task]?.takeIf { it.id == item.id && it.phase.active } ?: return
    put(held.with(item, now))
}

internal fun AgentStep.taskExtended(id: AttemptId, ownerEpoch: Long) {
    val held = state.attempts[id.task]?.takeIf { it.id == id } ?: return
    put(held.copy(ownerEpoch = maxOf(held.ownerEpoch, ownerEpoch)))
}

internal fun AgentStep.taskThrottled(id: AttemptId, order: Long) {
    val held = state.attempts[id.task]?.takeIf { it.id == id && it.phase.active } ?: return
    // A late confirmation of an earlier change says nothing about the present one.
    if (held.pendingShare != null && held.shareChangedAt.nanos == order) {
        put(held.copy(cpuShare = held.pendingShare, pendingShare = null))
    }
}

/**
 * Lets an attempt use [cpuShare] of its declared processors. It is charged the larger share until the runtime has
 * confirmed, and one change ends before the next begins. The time of the change orders it at the runtime, so a call
 * that arrives late cannot bring an earlier share back.
 */
internal fun AgentStep.changeShare(id: AttemptId, cpuShare: Double) {
    val held = state.attempts[id.task]?.takeIf { it.id == id && it.phase == AttemptPhase.Running } ?: return
    if (held.pendingShare != null || held.cpuShare == cpuShare || now <= held.shareChangedAt) return
    val charged = maxOf(held.cpuShare, cpuShare)
    put(held.copy(cpuShare = charged, pendingShare = cpuShare, shareChangedAt = now))
    actions += AgentAction.ThrottleTask(id, cpuShare, order = now.nanos)
}

/** Gives unused processors back to throttled attempts. */
internal fun AgentStep.restoreShares() {
    val capacity = state.capacity ?: return
    for (step in policy.restore(state, now)) {
        val held = state.attempts[step.id.task] ?: continue
        val after = state.used - held.charged + held.copy(cpuShare = step.cpuShare).charged
        if (step.cpuShare > held.cpuShare && after fitsIn capacity) changeShare(step.id, step.cpuShare)
    }
}

internal fun AgentStep.runtimeReady(e: AgentEvent.RuntimeReady) {
    val opensAt = if (e.predecessor) now + settings.announceWait else now
    state = state.copy(capacity = e.capacity, opensAt = opensAt)
    for (item in e.inventory) {
        if (item.id.task in state.attempts) continue
        val spec = TaskSpec(null, null, item.resources, checkpoint = item.checkpoint)
        val shard = shardOf(item.id.task, settings.shardCount)
        acceptEpoch(shard, maxOf(item.id.epoch, item.ownerEpoch))
        put(
            HeldAttempt(
                item.id,
                shard,
                spec,
                AttemptPhase.Running,
                item.deadline,
                item.deadline,
                acceptedAt = now,
                startedAt = now,
                // The runtime may still apply a throttle of the earlier incarnation.
                pendingShare = 1.0,
            ).with(item, now),
        )
    }
}

internal fun AgentStep.inventoryRead(e: AgentEvent.InventoryRead) {
    val byTask = e.inventory.groupBy { it.id.task }
    for (held in state.attempts.values.filter { it.phase.active }) {
        val item = byTask[held.id.task]?.firstOrNull { it.id == held.id }
        if (item != null) {
            put(held.with(item, now))
        } else if (isMissing(held, e.requestedAt)) {
            val reason = held.reason ?: Reason.AgentRestarted
            put(held.copy(phase = AttemptPhase.Stopped, reason = reason))
        }
    }
}

/** Tells whether the runtime must have listed [held] in an inventory requested at [requestedAt]. */
private fun isMissing(held: HeldAttempt, requestedAt: MonotonicInstant): Boolean {
    val started = held.startedAt ?: return false
    return started < requestedAt
}

private fun HeldAttempt.with(item: InventoryItem, now: MonotonicInstant): HeldAttempt {
    val keepsStopping = phase == AttemptPhase.Stopping && item.phase == AttemptPhase.Running
    val lapsed = item.phase == AttemptPhase.Stopped && reason == null
    return copy(
        phase = if (keepsStopping) AttemptPhase.Stopping else item.phase,
        // Only an inventory requested after this moment must list the attempt.
        startedAt = startedAt ?: now,
        ownerEpoch = maxOf(ownerEpoch, item.ownerEpoch),
        progressMillis = item.progressMillis,
        checkpoint = item.checkpoint ?: checkpoint,
        result = item.result,
        reason = if (lapsed) Reason.LeaseLapsed else reason,
    )
}

internal fun AgentStep.put(held: HeldAttempt) {
    state = state.copy(attempts = state.attempts.put(held.id.task, held))
}
