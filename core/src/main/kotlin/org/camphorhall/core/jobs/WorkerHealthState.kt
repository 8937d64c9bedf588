package org.camphorhall.core.jobs

/** Determines which tasks a worker may get. [logName] is written to the log. */
internal enum class WorkerHealthState(val logName: String) {
    /** Gets all tasks that fit. */
    Healthy("Sound"),

    /** Gets one batch task at a time until one succeeds. */
    OnProbation("OnProbation"),

    /** Gets no tasks. */
    Quarantined("Quarantined"),
}

/**
 * Returns the health states of [workers] at [now]. If most workers are not healthy, the fault is more likely in the
 * tasks, and all workers count as healthy.
 */
internal fun healthStatesOf(workers: List<TrackedWorker>, now: Long): (TrackedWorker) -> WorkerHealthState {
    val notHealthy = workers.count { it.health.state(now) != WorkerHealthState.Healthy }
    return if (notHealthy * 2 > workers.size) {
        { WorkerHealthState.Healthy }
    } else {
        { it.health.state(now) }
    }
}
