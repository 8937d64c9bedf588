package org.camphorhall.core.jobs

/** A job and its place among the jobs that need room. */
internal class RankedJob(val job: TrackedJob, val demand: JobDemand, val rank: RoomRank)

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

private val rankComparator = compareBy<RankedJob>({ it.demand.priority }, { it.rank }, { it.demand.deadline })
