package org.camphorhall.core.jobs

/**
 * Sorts jobs by the priority of their class, then by lateness, then by deadline. Jobs that can still meet their target
 * precede those that cannot, so that an overload delays some jobs rather than all; jobs whose result has become useless
 * come last.
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

/** A result that takes longer than this multiple of the target is of no use to the operators. */
private const val MAX_USEFUL_TARGETS = 3
