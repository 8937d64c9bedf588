package org.camphorhall.core.jobs

/**
 * What a job still needs, and when: the input of the decisions under overload. Times are in milliseconds of one
 * monotonic clock, work is in core-milliseconds.
 */
internal data class JobDemand(
    /** Priority of the class; 0 is the most urgent. */
    val priority: Int,
    /** Time by which the job should end. */
    val deadline: Long,
    /** Time after which the result is of no use. */
    val usefulUntil: Long,
    /** Estimated duration of the longest chain of steps that are not done, in milliseconds. */
    val remainingPathMillis: Long,
    /** Estimated work of the tasks that are not done. */
    val remainingWork: Double,
    /** Estimated work of all tasks. */
    val totalWork: Double,
    /** Whether enough of the job is done or runs that finishing it frees room sooner than beginning another one. */
    val hasBegun: Boolean,
    /** Whether the work runs on CPU that other tasks leave unused, and reserves none. */
    val isBackfill: Boolean = false,
)

/** What the job needs at [now], by the [priority] of its class at present. */
internal fun TrackedJob.demand(priority: Int): JobDemand {
    val target = deadline() - arrivedAt
    return JobDemand(
        priority = priority,
        deadline = deadline(),
        usefulUntil = arrivedAt + target * MAX_USEFUL_TARGETS,
        remainingPathMillis = remainingPathMillis(),
        remainingWork = remainingWork(),
        totalWork = spec.work() * spec.occurrences,
        hasBegun = hasBegun(),
        isBackfill = spec.isBackfill,
    )
}

private fun TrackedJob.hasBegun(): Boolean =
    phase != JobPhase.Queued && allTasks.count { !it.isWaiting } * BEGUN_PARTS >= allTasks.count()

/**
 * A job has begun when one of this many parts of its tasks has. A deferred job has a task running after
 * [JobShardSettings.starvationMillis], so that each job begins in the end.
 */
private const val BEGUN_PARTS = 4

/** A result that takes longer than this multiple of the target is of no use to the operators. */
internal const val MAX_USEFUL_TARGETS = 3
