package org.camphorhall.core.jobs

import org.camphorhall.core.model.Resources

/**
 * Caches the requirements of tasks that fit on no healthy worker in one placement pass. Free capacity only decreases
 * during a pass, so that another task with the same requirements does not fit either.
 *
 * Load pattern: hundreds of jobs wait whose tasks have the same requirements. Checking each of them against all workers
 * on every event uses the CPU time that the owner needs to renew its ownership of the shard.
 */
internal class RejectedPlacements {
    private val rejected = HashSet<TaskRequirements>()

    /** Whether a task of [service] with the same requirements as [t] was recorded. */
    fun isRejected(t: TrackedTask, service: String): Boolean = t.requirements(service)?.let { it in rejected } ?: false

    /** Records that [t] fits on no healthy worker of [service]. */
    fun record(t: TrackedTask, service: String) {
        t.requirements(service)?.let { rejected += it }
    }

    /** Null if the placement of the task also depends on that of its siblings. */
    private fun TrackedTask.requirements(service: String): TaskRequirements? = if (spec.maxPerWorker != null) {
        null
    } else {
        TaskRequirements(service, spec.demand, spec.reserved, spec.requiredLabel, spec.backfill, spec.image)
    }

    private data class TaskRequirements(
        val service: String,
        val demand: Resources,
        val reserved: Resources,
        val requiredLabel: String?,
        val backfill: Boolean,
        val image: String?,
    )
}
