package org.camphorhall.core.shard

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentHashSet
import kotlinx.collections.immutable.toPersistentList
import org.camphorhall.core.account.CountKey
import org.camphorhall.core.config.Configuration
import org.camphorhall.core.model.ClockReading
import org.camphorhall.core.model.JobId
import org.camphorhall.core.model.MonotonicInstant
import org.camphorhall.core.model.Reason
import org.camphorhall.core.model.TaskId
import org.camphorhall.core.model.Transition
import org.camphorhall.core.policy.PlacementPolicy
import org.camphorhall.core.routing.WorkerSnapshot

internal class RealJobShardMachine(
    private val settings: ShardSettings,
    private val place: PlacementPolicy,
) : JobShardMachine {
    override fun step(
        state: JobShardState,
        event: JobShardEvent,
        now: ClockReading,
        view: WorkerSnapshot,
        config: Configuration,
    ): Transition<JobShardState, JobShardAction> {
        if (state.lost) return Transition(state, refusalOf(event))
        val s = JobShardStep(state, now, view, config, settings, place)
        when (event) {
            is JobShardEvent.Submit -> s.submit(event)
            is JobShardEvent.Cancel -> s.cancel(event)
            is JobShardEvent.WorkerHeard -> s.workerHeard(event)
            is JobShardEvent.CommandAnswered -> s.applyReports(event.worker, event.reports)
            is JobShardEvent.Page -> s.pageEvent(event.event)
            is JobShardEvent.StoreContact -> s.storeContact(event.sentAt)
            JobShardEvent.Tick -> s.tick()
        }
        s.poll()
        return Transition(s.state, s.actions)
    }

    private fun refusalOf(event: JobShardEvent): List<JobShardAction> = when (event) {
        is JobShardEvent.Submit -> listOf(JobShardAction.Refused(event.reply, Reason.ShardMoved))
        is JobShardEvent.Cancel -> listOf(JobShardAction.Refused(event.reply, Reason.ShardMoved))
        else -> emptyList()
    }
}

/** State under change and actions collected during one step. */
internal class JobShardStep(
    var state: JobShardState,
    val now: ClockReading,
    var view: WorkerSnapshot,
    val config: Configuration,
    val settings: ShardSettings,
    val place: PlacementPolicy,
) {
    val actions: MutableList<JobShardAction> = mutableListOf()

    val book: JobBook get() = state.commit.current

    /** Whether this owner may grant leases: later owners wait for the grace of earlier ones to end. */
    val mayGrant: Boolean get() = state.ready && now.mono < state.storeContactAt + settings.ownerGrace

    fun change(book: JobBook, effects: List<ShardEffect> = emptyList()) {
        state = state.copy(commit = state.commit.change(book, effects))
    }

    fun change(book: JobBook, effect: ShardEffect) = change(book, listOf(effect))
}

internal fun JobShardStep.poll() {
    if (state.lost) return
    val (next, call) = state.commit.poll(now.mono)
    state = state.copy(commit = next)
    if (call != null) actions += JobShardAction.Store(call)
}

internal fun JobShardStep.storeContact(sentAt: MonotonicInstant) {
    if (sentAt > state.storeContactAt) state = state.copy(storeContactAt = sentAt)
}

internal fun JobShardStep.pageEvent(event: PageEvent<JobBook>) {
    val wasEstablished = state.commit.established
    val r = state.commit.handle(event, now.mono, settings.writeInterval, settings.storeRetry)
    state = state.copy(commit = r.commit)
    if (r.lost) {
        loseShard()
        return
    }
    if (!wasEstablished && r.commit.established) indexTasks()
    if (r.refused) refusePending(state.commit.waiting)
    release(r.released)
}

private fun JobShardStep.indexTasks() {
    val ids = book.jobs.values.flatMap { j -> j.tasks.mapIndexed { i, t -> j.taskId(i) to t.state } }
    state = state.copy(
        queued = ids.filter { it.second is TaskState.Queued }.map { it.first }.toPersistentHashSet(),
        assigned = ids.filter { it.second is TaskState.Assigned }.map { it.first }.toPersistentHashSet(),
    )
}

private fun JobShardStep.loseShard() {
    state.commit.inFlight?.effects?.forEach { e -> replyOf(e)?.let { inDoubt(it, Reason.ShardMoved) } }
    abandonSubmissions(state.commit.waiting.filterIsInstance<ShardEffect.Submitted>(), Reason.ShardMoved)
    state.commit.waiting.forEach { e -> replyOf(e)?.let { inDoubt(it, Reason.ShardMoved) } }
    state = state.copy(lost = true)
    actions += JobShardAction.Lost
}

private fun JobShardStep.release(effects: List<ShardEffect>) {
    val starts = mutableListOf<TaskId>()
    val stops = mutableListOf<TaskId>()
    for (e in effects) {
        when (e) {
            is ShardEffect.Submitted -> actions += JobShardAction.Accepted(e.reply, e.job)
            is ShardEffect.CancelRecorded -> actions += JobShardAction.CancelRecorded(e.reply)
            is ShardEffect.Start -> if (book.isCurrent(e.id)) starts += e.id.task
            is ShardEffect.Stop -> stops += e.task
        }
    }
    sendCommands(starts, stops)
}

/** Answers callers whose change surely had no effect yet, and takes new submissions back. */
private fun JobShardStep.refusePending(effects: PersistentList<ShardEffect>) {
    abandonSubmissions(effects.filterIsInstance<ShardEffect.Submitted>(), Reason.StoreUnavailable)
    for (e in effects) if (e is ShardEffect.CancelRecorded) inDoubt(e.reply, Reason.StoreUnavailable)
    keepWaiting { replyOf(it) == null }
}

/** Answers callers that waited too long while the store does not answer. */
internal fun JobShardStep.expirePending() {
    if (state.commit.failingSince == null) return
    val late = { since: MonotonicInstant -> now.mono - since >= settings.commitWait }
    val expired = state.commit.waiting.filter { e -> sinceOf(e)?.let(late) == true }
    abandonSubmissions(expired.filterIsInstance<ShardEffect.Submitted>(), Reason.StoreUnavailable)
    for (e in expired) if (e is ShardEffect.CancelRecorded) inDoubt(e.reply, Reason.StoreUnavailable)
    keepWaiting { it !in expired }
    val flight = state.commit.inFlight ?: return
    val overdue = flight.effects.filter { sinceOf(it)?.let(late) == true }
    overdue.forEach { e -> replyOf(e)?.let { inDoubt(it, Reason.StoreUnavailable) } }
    val kept = flight.copy(effects = (flight.effects - overdue.toSet()).toPersistentList())
    state = state.copy(commit = state.commit.copy(inFlight = kept))
}

/**
 * Gives up waiting [submissions] and every other waiting submission of the same jobs. A job that the store may hold
 * stays, because an earlier submission of it may have been acknowledged.
 */
private fun JobShardStep.abandonSubmissions(submissions: List<ShardEffect.Submitted>, reason: Reason) {
    val jobs = submissions.map { it.job }.toSet()
    val stored = jobs.filter { mayBeStored(it) }.toSet()
    for (e in state.commit.waiting) {
        if (e is ShardEffect.Submitted && e.job in jobs) {
            if (e.job in stored) inDoubt(e.reply, reason) else refuse(e.reply, reason)
        }
    }
    keepWaiting { it !is ShardEffect.Submitted || it.job !in jobs }
    (jobs - stored).forEach { withdrawJob(it, reason) }
}

private fun JobShardStep.mayBeStored(job: JobId): Boolean =
    job in state.commit.durable.jobs || job in state.commit.inFlight?.book?.jobs.orEmpty()

private fun JobShardStep.withdrawJob(id: JobId, reason: Reason) {
    val job = book.jobs[id] ?: return
    val ids = job.tasks.indices.map { job.taskId(it) }
    // The bulk removal of ordered persistent sets fails an internal assertion of the library.
    state = state.copy(
        queued = ids.fold(state.queued) { s, t -> s.remove(t) },
        assigned = ids.fold(state.assigned) { s, t -> s.remove(t) },
    )
    // A job that was cancelled or found never to fit meanwhile counts as refused only.
    val ended = if (job.endedMillis == null) book.counts else book.counts.add(endOf(job), -1)
    val counts = ended.add(CountKey(job.spec.className, "accepted"), -1).add(job.spec.className, "refused", reason.code)
    change(book.copy(jobs = book.jobs.remove(id), counts = counts))
}

private fun JobShardStep.keepWaiting(keep: (ShardEffect) -> Boolean) {
    val kept = state.commit.waiting.filter(keep).toPersistentList()
    state = state.copy(commit = state.commit.copy(waiting = kept))
}

private fun JobShardStep.refuse(reply: Long, reason: Reason) {
    actions += JobShardAction.Refused(reply, reason)
}

private fun JobShardStep.inDoubt(reply: Long, reason: Reason) {
    actions += JobShardAction.InDoubt(reply, reason)
}

private fun replyOf(e: ShardEffect): Long? = when (e) {
    is ShardEffect.Submitted -> e.reply
    is ShardEffect.CancelRecorded -> e.reply
    is ShardEffect.Start, is ShardEffect.Stop -> null
}

private fun sinceOf(e: ShardEffect) = when (e) {
    is ShardEffect.Submitted -> e.since
    is ShardEffect.CancelRecorded -> e.since
    is ShardEffect.Start, is ShardEffect.Stop -> null
}
