package org.camphorhall.core.jobs

/** A job and its place among the jobs that need room. */
internal class RankedJob(val job: TrackedJob, val demand: JobDemand, val rank: RoomRank) {
    /** Whether the job gives way to others although it could meet its target, or be useful, alone. */
    fun isDeferred(now: Long): Boolean = rank > rankAlone(demand, now)
}

/**
 * Sorts jobs by the priority of their class, then by [RoomRank], then by deadline. Jobs that can still meet their target
 * precede those that cannot, so that an overload delays some jobs rather than all; jobs whose result has become useless
 * come last. [room] is the CPU that they share.
 */
internal fun List<TrackedJob>.sortedByPriority(
    now: Long,
    room: Room,
    rank: RoomRanking = ::rankByRoom,
    priorityOf: (TrackedJob) -> Int,
): List<RankedJob> {
    val demands = map { it.demand(priorityOf(it)) }
    val ranks = rank(demands, room, now)
    return indices.map { RankedJob(this[it], demands[it], ranks[it]) }.sortedWith(rankComparator)
}

private val rankComparator = compareBy<RankedJob>(
    { it.demand.priority },
    { it.rank },
    { if (it.rank == RoomRank.OnTime) it.demand.deadline else it.demand.usefulUntil },
)
