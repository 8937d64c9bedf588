package org.camphorhall.core.jobs

import org.camphorhall.core.model.Resources

/**
 * Remembers the requirements of tasks that fit on no healthy worker. In the same placement pass another task with the
 * same requirements does not fit either. In later passes only the workers that may have got more room since are checked
 * again, for [RECHECK_MILLIS]: the forecasts of all workers change slowly with what is learned of the images.
 *
 * Load pattern: hundreds of tasks end each second while tens of jobs wait, each with requirements of its own. Checking
 * all of them against all workers at each end uses the CPU time that the owner needs to start tasks, and to renew its
 * ownership of the shard.
 */
internal class RejectedPlacements {
    private class Rejection(val at: Long, var pass: Long)

    private val rejections = HashMap<TaskRequirements, Rejection>()
    private var pass = 0L

    /** Begins the pass at [now]. A requirement that the last pass did not check has missed the changes since. */
    fun beginPass(now: Long) {
        rejections.values.removeIf { it.pass != pass || now - it.at >= RECHECK_MILLIS }
        pass++
    }

    /** Which workers of [service] to check for [t] in this pass. */
    fun scopeOf(t: TrackedTask, service: String): PlacementScope {
        val rejection = t.requirements(service)?.let(rejections::get) ?: return PlacementScope.AllWorkers
        return if (rejection.pass == pass) PlacementScope.None else PlacementScope.ChangedWorkers
    }

    /** Records that [t] fits on no healthy worker of [service] in this pass, at [now]. */
    fun record(t: TrackedTask, service: String, now: Long) {
        t.requirements(service)?.let { rejections.getOrPut(it) { Rejection(now, pass) }.pass = pass }
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

    private companion object {
        /** Short against the time of a task, and long against the time between two ends under load. */
        const val RECHECK_MILLIS = 300L
    }
}

/** The workers to check for a task. */
internal enum class PlacementScope {
    AllWorkers,

    /** Those that may have got more room since the last pass. */
    ChangedWorkers,

    None,
}
