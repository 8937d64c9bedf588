package org.camphorhall.core.jobs

/**
 * Sorts jobs by the priority of their class, then by [RoomRank], then by deadline, or by the time until which a late
 * result is useful. Jobs that can still meet their target precede those that cannot, so that an overload delays some
 * jobs rather than all; jobs whose result has become useless come last. [room] is the CPU that they share.
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
