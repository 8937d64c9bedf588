package org.camphorhall.core.shard

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import org.camphorhall.core.account.CountKey
import org.camphorhall.core.model.JobId
import org.camphorhall.core.model.MonotonicInstant
import org.camphorhall.core.model.Reason

/** After a write that was not committed, ends pending submissions and reports pending cancellations as in doubt. */
internal fun JobShardStep.rejectPending(effects: PersistentList<ShardEffect>) {
    abandonSubmissions(effects.filterIsInstance<ShardEffect.AcknowledgeSubmission>(), Reason.StoreUnavailable)
    for (e in effects) if (e is ShardEffect.AcknowledgeCancellation) inDoubt(e.correlationId, Reason.StoreUnavailable)
    retainPendingEffects { correlationIdOf(it) == null }
}

/** Responds to callers that exceeded the commit timeout while store calls fail. */
internal fun JobShardStep.expirePendingRequests() {
    if (state.commit.failingSince == null) return
    val late = { requestedAt: MonotonicInstant -> now.mono - requestedAt >= settings.commitTimeout }
    val expired = state.commit.pendingEffects.filter { e -> requestedAtOf(e)?.let(late) == true }
    abandonSubmissions(expired.filterIsInstance<ShardEffect.AcknowledgeSubmission>(), Reason.StoreUnavailable)
    for (e in expired) if (e is ShardEffect.AcknowledgeCancellation) inDoubt(e.correlationId, Reason.StoreUnavailable)
    retainPendingEffects { it !in expired }
    val flight = state.commit.inFlight ?: return
    val overdue = flight.effects.filter { requestedAtOf(it)?.let(late) == true }
    overdue.forEach { e -> correlationIdOf(e)?.let { inDoubt(it, Reason.StoreUnavailable) } }
    val kept = flight.copy(effects = (flight.effects - overdue.toSet()).toPersistentList())
    state = state.copy(commit = state.commit.copy(inFlight = kept))
}

/**
 * Ends the pending [submissions] and all other pending submissions of the same jobs. A job that may be stored is kept,
 * because an earlier submission of it may have been acknowledged.
 */
internal fun JobShardStep.abandonSubmissions(submissions: List<ShardEffect.AcknowledgeSubmission>, reason: Reason) {
    val jobs = submissions.map { it.job }.toSet()
    val stored = jobs.filter { mayBeStored(it) }.toSet()
    for (e in state.commit.pendingEffects) {
        if (e is ShardEffect.AcknowledgeSubmission && e.job in jobs) {
            if (e.job in stored) inDoubt(e.correlationId, reason) else reject(e.correlationId, reason)
        }
    }
    retainPendingEffects { it !is ShardEffect.AcknowledgeSubmission || it.job !in jobs }
    (jobs - stored).forEach { withdrawJob(it, reason) }
}

private fun JobShardStep.mayBeStored(job: JobId): Boolean =
    job in state.commit.durable.jobs || job in state.commit.inFlight?.page?.jobs.orEmpty()

private fun JobShardStep.withdrawJob(id: JobId, reason: Reason) {
    val job = page.jobs[id] ?: return
    val ids = job.tasks.indices.map { job.taskId(it) }
    // Removes ids one by one: bulk removal from an ordered persistent set fails an internal assertion of the library.
    state = state.copy(
        queued = ids.fold(state.queued) { s, t -> s.remove(t) },
        assigned = ids.fold(state.assigned) { s, t -> s.remove(t) },
    )
    // A job that ended in the meantime (cancelled, or too large for any worker) counts only as refused.
    val countsWithoutEnd = if (job.endedMillis == null) page.counts else page.counts.add(outcomeCountKey(job), -1)
    val counts = countsWithoutEnd.add(CountKey(job.spec.className, "accepted"), -1)
        .add(job.spec.className, "refused", reason.code)
    change(page.copy(jobs = page.jobs.remove(id), counts = counts))
}

internal fun JobShardStep.retainPendingEffects(keep: (ShardEffect) -> Boolean) {
    val kept = state.commit.pendingEffects.filter(keep).toPersistentList()
    state = state.copy(commit = state.commit.copy(pendingEffects = kept))
}

private fun JobShardStep.reject(correlationId: Long, reason: Reason) {
    actions += JobShardAction.Rejected(correlationId, reason)
}

internal fun JobShardStep.inDoubt(correlationId: Long, reason: Reason) {
    actions += JobShardAction.InDoubt(correlationId, reason)
}

internal fun correlationIdOf(e: ShardEffect): Long? = when (e) {
    is ShardEffect.AcknowledgeSubmission -> e.correlationId
    is ShardEffect.AcknowledgeCancellation -> e.correlationId
    is ShardEffect.SendStart, is ShardEffect.SendStop -> null
}

private fun requestedAtOf(e: ShardEffect) = when (e) {
    is ShardEffect.AcknowledgeSubmission -> e.requestedAt
    is ShardEffect.AcknowledgeCancellation -> e.requestedAt
    is ShardEffect.SendStart, is ShardEffect.SendStop -> null
}
