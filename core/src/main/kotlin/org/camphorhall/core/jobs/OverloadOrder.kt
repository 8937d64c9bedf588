package org.camphorhall.core.jobs

/** Which jobs get room first. */
internal enum class RoomRank {
    /** The job can meet its target, and there is room for it. */
    OnTime,

    /** The target is missed, or was given up for jobs that need less room. There is room while the result is useful. */
    Late,

    /** The result could be useful, but its delay costs less than that of the jobs before it. */
    Deferred,

    /** The result has become useless. */
    TooLate,
}

/** CPU that jobs share, in thousandths of a core. */
internal data class Room(
    /** CPU that tasks can reserve: all but the demand of tasks that run until their job is cancelled. */
    val reservable: Long,
    /** CPU for backfill tasks: [reservable], and what the serving tasks leave unused of their demand. */
    val backfill: Long,
)

/** Ranks jobs that share a room at a time. */
internal typealias RoomRanking = (jobs: List<JobDemand>, room: Room, now: Long) -> List<RoomRank>

/**
 * Ranks [jobs] so that, within each priority, what misses its target in the [room] costs callers least, and as much as
 * possible of it ends while it is useful. Higher priorities take their room first.
 *
 * Load pattern: for seconds, more work is due than the room can do, as in a burst of large jobs, after a loss of many
 * workers, or while a failure domain is evacuated. By deadlines alone every job then ends a little too late. Jobs are
 * taken by deadline, and where one of them would miss it, jobs are left out until the others fit, as in the rule of
 * Moore and Hodgson. What is left out is taken again, by the time until which it is useful. Jobs that have begun are
 * never left out, because finishing them frees room sooner. While everything fits, nothing is left out.
 */
internal fun rankByRoom(jobs: List<JobDemand>, room: Room, now: Long): List<RoomRank> {
    val alone = jobs.map { rankAlone(it, now) }
    val ranks = alone.toMutableList()
    // Work of unknown size and tasks that run until their job is cancelled say nothing about the room that they need.
    val sized = jobs.indices.filter { jobs[it].remainingWork > 0 && alone[it] != RoomRank.TooLate }
    var used = UsedRoom(0.0, 0.0)
    for (ofPriority in sized.groupBy { jobs[it].priority }.toSortedMap().values) {
        val packing = RoomPacking(jobs, room, meanWork = ofPriority.map { jobs[it].totalWork }.average())
        val (timely, late) = ofPriority.partition { alone[it] == RoomRank.OnTime }
        val inTime = packing.pack(timely, used) { jobs[it].deadline - now }
        inTime.leftOut.forEach { ranks[it] = RoomRank.Late }
        val useful = packing.pack(inTime.leftOut + late, inTime.used) { jobs[it].usefulUntil - now }
        useful.leftOut.forEach { ranks[it] = RoomRank.Deferred }
        used = useful.used
    }
    return ranks
}

/** The rank of [job] at [now] if it had all room to itself. */
internal fun rankAlone(job: JobDemand, now: Long): RoomRank {
    val end = now + job.remainingPathMillis
    return when {
        end <= job.deadline -> RoomRank.OnTime
        end <= job.usefulUntil -> RoomRank.Late
        else -> RoomRank.TooLate
    }
}
