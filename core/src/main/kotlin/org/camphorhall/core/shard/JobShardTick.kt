package org.camphorhall.core.shard

import kotlinx.collections.immutable.PersistentMap
import org.camphorhall.core.model.JobId

internal fun JobShardStep.tick() {
    expirePendingRequests()
    if (!state.ready) return
    checkAssignedTasks()
    if (mayGrant && state.commit.failingSince == null) placeQueued()
    removeEndedJobs()
}

/** Removes ended jobs whose retention has passed; runs once per second. */
private fun JobShardStep.removeEndedJobs() {
    if ((now.mono - state.lastCleanupAt).inWholeMilliseconds < CLEANUP_INTERVAL_MILLIS) return
    state = state.copy(lastCleanupAt = now.mono)
    val limit = now.wallMillis - settings.jobRetention.inWholeMilliseconds
    val old = page.jobs.values.filter { j -> j.endedMillis?.let { it < limit } ?: false }.map { it.id }
    if (old.isNotEmpty()) change(page.copy(jobs = page.jobs.removeAllKeys(old)))
}

private fun PersistentMap<JobId, SingleStepJobRecord>.removeAllKeys(
    keys: List<JobId>,
): PersistentMap<JobId, SingleStepJobRecord> {
    val b = builder()
    keys.forEach { b.remove(it) }
    return b.build()
}

private const val CLEANUP_INTERVAL_MILLIS = 1_000L
