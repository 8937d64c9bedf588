package org.camphorhall.core.shard

import org.camphorhall.core.model.AttemptId
import org.camphorhall.core.model.Reason
import org.camphorhall.core.model.Resources
import org.camphorhall.core.model.TaskId
import org.camphorhall.core.model.TenantName
import org.camphorhall.core.policy.PlacementRequest

/** A queued task whose retry delay has passed. */
private class Candidate(val id: TaskId, val task: TaskRecord, val job: SingleStepJobRecord, val latestStart: Long)

internal fun JobShardStep.placeQueued() {
    val ready = placementCandidates()
    if (ready.isEmpty()) return
    val usage = tenantUsage()
    val unplaceable = mutableListOf<Resources>()
    for (c in ready.take(settings.placementsPerStep)) {
        val spec = c.job.spec
        // A task that needs at least the resources of one that could not be placed cannot be placed either.
        if (unplaceable.any { it fitsIn spec.resources }) {
            recordWaitReason(c.id, c.task, Reason.NoCapacity)
            continue
        }
        val usageWithTask = (usage[spec.tenant] ?: Resources.None) + spec.resources
        if (!isWithinQuota(spec.tenant, usageWithTask)) {
            recordWaitReason(c.id, c.task, Reason.QuotaExceeded)
        } else if (placeTask(c.id, c.task, spec)) {
            usage[spec.tenant] = usageWithTask
        } else {
            unplaceable += spec.resources
            if (unplaceable.size >= MAX_PLACEMENT_FAILURES) break
        }
    }
}

/**
 * Tasks to place: urgent ones first, then by latest start. By latest start alone, batch tasks that have already missed
 * their finish-by target would delay urgent ones.
 */
private fun JobShardStep.placementCandidates(): List<Candidate> {
    if (state.queued.isEmpty()) return emptyList()
    val found = ArrayList<Candidate>(state.queued.size)
    for (id in state.queued) {
        val job = page.jobs[id.job] ?: continue
        val task = job.tasks.getOrNull(id.index) ?: continue
        if (task.notBeforeMillis <= now.wallMillis) found += Candidate(id, task, job, latestStartMillis(job, task))
    }
    found.sortWith(compareBy<Candidate> { !it.job.urgent }.thenBy { it.latestStart })
    return found
}

/** Resources of each tenant's assigned batch tasks, including those of this shard. */
private fun JobShardStep.tenantUsage(): MutableMap<TenantName, Resources> {
    val usage = HashMap(view.tenantUsage)
    for (id in state.assigned) {
        val spec = page.jobs.getValue(id.job).spec
        usage[spec.tenant] = (usage[spec.tenant] ?: Resources.None) + spec.resources
    }
    return usage
}

/** Latest start (wall clock) at which the task meets its target, given its declared run time. */
private fun latestStartMillis(job: SingleStepJobRecord, task: TaskRecord): Long {
    val remaining = (job.spec.expectedMillis - task.progressMillis).coerceAtLeast(0)
    return if (job.urgent) job.dueMillis else job.dueMillis - remaining
}

private fun JobShardStep.isWithinQuota(tenant: TenantName, usage: Resources): Boolean {
    val quota = config.quota(tenant) ?: return true
    return usage fitsIn quota.batch
}

/** Assigns the task to a worker, or fails it if it exceeds every worker. Returns false if it stays queued. */
private fun JobShardStep.placeTask(id: TaskId, task: TaskRecord, spec: SingleStepJobSpec): Boolean {
    if (view.neverFits(spec.resources)) {
        state = state.copy(queued = state.queued.remove(id))
        change(page.withTask(id, task.copy(state = TaskState.Failed(Reason.NeverFits))))
        recordJobEnd(id.job)
        return true
    }
    state = state.copy(placementSeed = state.placementSeed * LCG_MULTIPLIER + 1)
    val avoid = task.failedOn + listOfNotNull(task.rejectedBy)
    val request = PlacementRequest(spec.className, spec.resources, avoid, state.placementSeed)
    val info = placement(view, request, now.mono)
    if (info == null) {
        recordWaitReason(id, task, Reason.NoCapacity)
        return false
    }
    val attempt = AttemptId(id, state.commit.epoch, task.attempts + 1)
    val assigned = TaskState.Assigned(attempt, info.id, info.incarnation)
    state = state.copy(queued = state.queued.remove(id), assigned = state.assigned.add(id))
    view = view.put(info.copy(resourcesPlacedSinceReport = info.resourcesPlacedSinceReport + spec.resources))
    change(page.withTask(id, task.copy(state = assigned, attempts = task.attempts + 1)), ShardEffect.SendStart(attempt))
    return true
}

private fun JobShardStep.recordWaitReason(id: TaskId, task: TaskRecord, reason: Reason) {
    if (task.waitReason != reason) change(page.withTask(id, task.copy(waitReason = reason)))
}

/** Number of resource sizes without a placement after which a step places no more tasks: the cluster counts as full. */
private const val MAX_PLACEMENT_FAILURES = 8

/** Multiplier of a 64-bit linear congruential generator (Knuth, MMIX). */
private const val LCG_MULTIPLIER = 6_364_136_223_846_793_005L
