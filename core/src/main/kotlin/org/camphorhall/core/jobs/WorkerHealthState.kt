package org.camphorhall.core.jobs

/** How far a worker is trusted with new tasks. */
internal enum class WorkerHealthState(val logName: String) {
    /** Takes all tasks that fit. */
    Healthy("Sound"),

    /** Takes one batch task at a time, until one is done there. */
    OnProbation("OnProbation"),

    /** Takes no tasks. */
    Quarantined("Quarantined"),
}

/**
 * Standings of [workers] at [now]. When most workers are in doubt, the tasks are more likely at fault than the workers,
 * and all of them are used.
 */
internal fun healthStatesOf(workers: List<TrackedWorker>, now: Long): (TrackedWorker) -> WorkerHealthState {
    val notHealthy = workers.count { it.health.state(now) != WorkerHealthState.Healthy }
    return if (notHealthy * 2 > workers.size) {
        { WorkerHealthState.Healthy }
    } else {
        { it.health.state(now) }
    }
}
