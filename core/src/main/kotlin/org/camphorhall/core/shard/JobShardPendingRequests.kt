package org.camphorhall.core.shard

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import org.camphorhall.core.account.CountKey
import org.camphorhall.core.model.JobId
import org.camphorhall.core.model.MonotonicInstant
import org.camphorhall.core.model.Reason

/** Answers callers whose change surely had no effect yet, and takes new submissions back. */
internal fun JobShardStep.rejectPending(effects: PersistentList<ShardEffect>) {
    abandonSubmissions(effects.filterIsInstance<ShardEffect.AcknowledgeSubmission>(), Reason.StoreUnavailable)
    for (e in effects) if (e is ShardEffect.AcknowledgeCancellation) inDoubt(e.correlationId, Reason.StoreUnavailable)
    retainPendingEffects { correlationIdOf(it) == null }
}

/** Answers callers that waited too long while the store does not answer. */
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
 * Gives up waiting [submissions] and every other waiting submission of the same jobs. A job that the store may hold
 * stays, because an earlier submission of it may have been acknowledged.
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
    // The bulk removal of ordered persistent sets fails an internal assertion of the library.
    state = state.copy(
        queued = ids.fold(state.queued) { s, t -> s.remove(t) },
        assigned = ids.fold(state.assigned) { s, t -> s.remove(t) },
    )
    // A job that was cancelled or found never to fit meanwhile counts as refused only.
    val ended = if (job.endedMillis == null) page.counts else page.counts.add(outcomeCountKey(job), -1)
    val counts = ended.add(CountKey(job.spec.className, "accepted"), -1).add(job.spec.className, "refused", reason.code)
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
