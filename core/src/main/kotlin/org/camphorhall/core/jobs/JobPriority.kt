package org.camphorhall.core.jobs

/**
 * The order in which jobs get room. The priority of the class goes first. Within a class, jobs that can still meet
 * their target go before those that cannot, so that load beyond the capacity delays some jobs and not all of them; jobs
 * that are so late that their result is of no more use go last. Among equals the earliest deadline goes first.
 */
internal fun List<TrackedJob>.sortedByPriority(now: Long, priorityOf: (TrackedJob) -> Int): List<TrackedJob> =
    map { RankedJob(it, priorityOf(it), latenessOf(it, now), it.deadline()) }.sortedWith(rankComparator).map { it.job }

private class RankedJob(val job: TrackedJob, val priority: Int, val lateness: Lateness, val deadline: Long)

private val rankComparator = compareBy<RankedJob>({ it.priority }, { it.lateness }, { it.deadline })

private enum class Lateness { OnTime, Late, TooLate }

private fun latenessOf(job: TrackedJob, now: Long): Lateness {
    val target = job.deadline() - job.arrivedAt
    val end = now + job.remainingCriticalPathMillis()
    return when {
        end <= job.deadline() -> Lateness.OnTime
        end <= job.arrivedAt + target * MAX_USEFUL_TARGETS -> Lateness.Late
        else -> Lateness.TooLate
    }
}

/** After three times its target a result is worth nothing to the operators. */
private const val MAX_USEFUL_TARGETS = 3
