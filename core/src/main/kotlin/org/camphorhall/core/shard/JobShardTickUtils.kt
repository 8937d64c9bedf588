package org.camphorhall.core.shard

import kotlinx.collections.immutable.PersistentMap
import org.camphorhall.core.model.AttemptId
import org.camphorhall.core.model.JobId
import org.camphorhall.core.model.Reason
import org.camphorhall.core.model.Resources
import org.camphorhall.core.model.TaskId
import org.camphorhall.core.model.TenantName
import org.camphorhall.core.policy.PlacementRequest

internal fun JobShardStep.tick() {
    expirePending()
    if (!state.ready) return
    checkAssigned()
    if (mayGrant && state.commit.failingSince == null) placeQueued()
    dropEnded()
}

/** Requeues tasks whose lease has surely expired, and repeats starts and stops that were not confirmed. */
private fun JobShardStep.checkAssigned() {
    val starts = mutableListOf<TaskId>()
    val stops = mutableListOf<TaskId>()
    for (id in state.assigned) {
        val task = book.task(id) ?: continue
        val a = task.state as? TaskState.Assigned ?: continue
        // An attempt that is not durable was not sent, so the last grant to its worker says nothing about its lease.
        if (!state.commit.durable.isCurrent(a.id)) continue
        if (hasLapsed(a)) {
            lapse(id, task, a)
        } else {
            if (a.stop != null && isDue(id)) stops += id
            if (a.stop == null && needsStart(id, a)) starts += id
        }
    }
    sendCommands(starts, stops)
    for (id in stops) noteStopSent(id)
}

private fun JobShardStep.isDue(id: TaskId): Boolean =
    state.sentStarts[id]?.let { now.mono - it.at >= settings.startRetry } ?: true

private fun JobShardStep.needsStart(id: TaskId, a: TaskState.Assigned): Boolean {
    if (!a.started) return isDue(id)
    // A new incarnation of the agent says whether it found the attempt in the runtime's inventory.
    val incarnation = view.workers[a.worker]?.incarnation ?: return false
    // The question may get lost, so it is repeated for as long as the attempt is assigned.
    return incarnation != a.incarnation && (incarnation != state.sentStarts[id]?.incarnation || isDue(id))
}

private fun JobShardStep.noteStopSent(id: TaskId) {
    val incarnation = (book.task(id)?.state as? TaskState.Assigned)?.incarnation ?: return
    state = state.copy(sentStarts = state.sentStarts.put(id, SentStart(now.mono, incarnation)))
}

private fun JobShardStep.lapse(id: TaskId, task: TaskRecord, a: TaskState.Assigned) {
    if (a.stop == Reason.Cancelled) {
        state = state.copy(assigned = state.assigned.remove(id), sentStarts = state.sentStarts.remove(id))
        change(book.with(id, task.copy(state = TaskState.Cancelled)))
        noteEnd(id.job)
    } else {
        requeue(id, task, Reason.LeaseLapsed, evicted = a.started)
    }
}

/** Tells whether the lease of the attempt has surely expired on the agent's clock, whoever renewed it last. */
internal fun JobShardStep.hasLapsed(a: TaskState.Assigned): Boolean {
    val contact = state.contacts[a.worker]
    val fenced = a.id.epoch == state.commit.epoch || (contact?.acceptedEpoch ?: 0) >= state.commit.epoch
    val own = (contact?.lastGrant ?: state.takenAt) + settings.taskLease * (1 + settings.driftPart) + settings.margin
    // Until the worker has accepted this epoch, an earlier owner may go on renewing for its grace.
    val earlier = state.takenAt +
        (settings.ownerGrace + settings.taskLease) * (1 + settings.driftPart) + settings.margin
    return now.mono > if (fenced) own else maxOf(own, earlier)
}

/** A queued task that may be placed now. */
private class Candidate(val id: TaskId, val task: TaskRecord, val job: JobRecord, val latestStart: Long)

private fun JobShardStep.placeQueued() {
    val ready = placeable()
    if (ready.isEmpty()) return
    val usage = tenantUsage()
    val refused = mutableListOf<Resources>()
    for (c in ready.take(settings.placementsPerStep)) {
        val spec = c.job.spec
        // A task that needs at least as much as one that found no room would find none either.
        if (refused.any { it fitsIn spec.resources }) {
            noteDelay(c.id, c.task, Reason.NoCapacity)
            continue
        }
        val taken = (usage[spec.tenant] ?: Resources.None) + spec.resources
        if (!isWithinQuota(spec.tenant, taken)) {
            noteDelay(c.id, c.task, Reason.QuotaExceeded)
        } else if (place(c.id, c.task, spec)) {
            usage[spec.tenant] = taken
        } else {
            refused += spec.resources
            if (refused.size >= MAX_PLACEMENT_FAILURES) break
        }
    }
}

/** Tasks to place in order: urgent ones before batch ones, which could have missed their finish-by already. */
private fun JobShardStep.placeable(): List<Candidate> {
    if (state.queued.isEmpty()) return emptyList()
    val found = ArrayList<Candidate>(state.queued.size)
    for (id in state.queued) {
        val job = book.jobs[id.job] ?: continue
        val task = job.tasks.getOrNull(id.index) ?: continue
        if (task.notBeforeMillis <= now.wallMillis) found += Candidate(id, task, job, latestStartMillis(job, task))
    }
    found.sortWith(compareBy<Candidate> { !it.job.urgent }.thenBy { it.latestStart })
    return found
}

/** Resources of each tenant's running batch tasks, those of this shard included. */
private fun JobShardStep.tenantUsage(): MutableMap<TenantName, Resources> {
    val usage = HashMap(view.tenantUsage)
    for (id in state.assigned) {
        val spec = book.jobs.getValue(id.job).spec
        usage[spec.tenant] = (usage[spec.tenant] ?: Resources.None) + spec.resources
    }
    return usage
}

/** Wall time at which the task should start at the latest to meet its target, by its declared run time. */
private fun latestStartMillis(job: JobRecord, task: TaskRecord): Long {
    val left = (job.spec.expectedMillis - task.progressMillis).coerceAtLeast(0)
    return if (job.urgent) job.dueMillis else job.dueMillis - left
}

private fun JobShardStep.isWithinQuota(tenant: TenantName, taken: Resources): Boolean {
    val quota = config.quota(tenant) ?: return true
    return taken fitsIn quota.batch
}

private fun JobShardStep.place(id: TaskId, task: TaskRecord, spec: JobSpec): Boolean {
    if (view.neverFits(spec.resources)) {
        state = state.copy(queued = state.queued.remove(id))
        change(book.with(id, task.copy(state = TaskState.Failed(Reason.NeverFits))))
        noteEnd(id.job)
        return true
    }
    state = state.copy(seed = state.seed * SEED_STEP + 1)
    val avoid = task.failedOn + listOfNotNull(task.refusedBy)
    val request = PlacementRequest(spec.className, spec.resources, avoid, state.seed)
    val info = place(view, request, now.mono)
    if (info == null) {
        noteDelay(id, task, Reason.NoCapacity)
        return false
    }
    val attempt = AttemptId(id, state.commit.epoch, task.attempts + 1)
    val assigned = TaskState.Assigned(attempt, info.id, info.incarnation)
    state = state.copy(queued = state.queued.remove(id), assigned = state.assigned.add(id))
    view = view.put(info.copy(resourcesPlacedSinceReport = info.resourcesPlacedSinceReport + spec.resources))
    change(book.with(id, task.copy(state = assigned, attempts = task.attempts + 1)), ShardEffect.Start(attempt))
    return true
}

private fun JobShardStep.noteDelay(id: TaskId, task: TaskRecord, reason: Reason) {
    if (task.delay != reason) change(book.with(id, task.copy(delay = reason)))
}

/** Drops ended jobs after their retention, once a second. */
private fun JobShardStep.dropEnded() {
    if ((now.mono - state.cleanedAt).inWholeMilliseconds < CLEAN_MILLIS) return
    state = state.copy(cleanedAt = now.mono)
    val limit = now.wallMillis - settings.jobRetention.inWholeMilliseconds
    val old = book.jobs.values.filter { j -> j.endedMillis?.let { it < limit } ?: false }.map { it.id }
    if (old.isNotEmpty()) change(book.copy(jobs = book.jobs.removeAllKeys(old)))
}

private fun PersistentMap<JobId, JobRecord>.removeAllKeys(keys: List<JobId>): PersistentMap<JobId, JobRecord> {
    val b = builder()
    keys.forEach { b.remove(it) }
    return b.build()
}

private const val CLEAN_MILLIS = 1_000L

/** Sizes that found no room after which a step gives up: the fleet is full. */
private const val MAX_PLACEMENT_FAILURES = 8

/** Multiplier of a 64-bit linear congruential generator (Knuth, MMIX). */
private const val SEED_STEP = 6_364_136_223_846_793_005L
