package org.camphorhall.core.jobs

import org.camphorhall.core.model.Resources

/**
 * Kinds of tasks that fit on no sound worker in one pass of placement. Room only shrinks within a pass, so that a task
 * like one that did not fit does not fit either.
 *
 * Load pattern: hundreds of jobs wait whose tasks differ in nothing that placement looks at. Checking each against all
 * workers, at each event, takes the processor time that the owner of a shard needs to keep the shard.
 */
internal class RejectedPlacements {
    private val rejected = HashSet<TaskRequirements>()

    /** Whether a task like [t] of [service] did not fit. */
    fun isRejected(t: TrackedTask, service: String): Boolean = t.requirements(service)?.let { it in rejected } ?: false

    /** Notes that [t] fits on no sound worker of [service]. */
    fun record(t: TrackedTask, service: String) {
        t.requirements(service)?.let { rejected += it }
    }

    /** Null if the place of the task depends on where its siblings are. */
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
