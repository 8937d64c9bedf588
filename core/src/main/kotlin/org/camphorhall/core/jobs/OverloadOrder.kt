package org.camphorhall.core.jobs

import java.util.PriorityQueue

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
 * Ranks [jobs] so that, within each priority, as many as possible meet their targets in the [room], and as many of the
 * others as possible end while they are useful. Higher priorities take their room first.
 *
 * Load pattern: for seconds, more work is due than the room can do, as in a burst of large jobs, after a loss of many
 * workers, or while a failure domain is evacuated. By deadlines alone every job then ends a little too late. Jobs are
 * taken by deadline, and whenever one of them would miss it, the job that needs the most room is left out (the rule of
 * Moore and Hodgson, which minimizes the number of late jobs). What is left out is taken again, by the time until which
 * it is useful. Jobs that have begun are never left out, because finishing them frees room sooner. While everything
 * fits, nothing is left out.
 */
internal fun rankByRoom(jobs: List<JobDemand>, room: Room, now: Long): List<RoomRank> {
    val alone = jobs.map { rankAlone(it, now) }
    // Work of unknown size and tasks that run until their job is cancelled say nothing about the room that they need.
    val sized = jobs.indices.filter { jobs[it].remainingWork > 0 }
    val ranks = alone.toMutableList()
    for (ofPriority in sized.groupBy { jobs[it].priority }.toSortedMap().values) {
        val packing = RoomPacking(room)
        val before = sized.filter { jobs[it].priority < jobs[ofPriority.first()].priority }
        before.filter { ranks[it] <= RoomRank.Late }.forEach { packing.reserve(jobs[it]) }
        val (timely, late) = ofPriority.filter { alone[it] != RoomRank.TooLate }
            .partition { alone[it] == RoomRank.OnTime }
        val leftOut = packing.pack(timely, jobs) { jobs[it].deadline - now }
        leftOut.forEach { ranks[it] = RoomRank.Late }
        packing.pack(leftOut + late, jobs) { jobs[it].usefulUntil - now }.forEach { ranks[it] = RoomRank.Deferred }
    }
    return ranks
}

/** Work of jobs that is to be done in [room]. Backfill work takes no room from work that reserves its CPU. */
private class RoomPacking(private val room: Room) {
    private var reservedWork = 0.0
    private var work = 0.0

    /** Adds a job that is not left out. */
    fun reserve(job: JobDemand) {
        add(job, 1)
    }

    /**
     * Adds the jobs with [indices] in [jobs], by the time in milliseconds that [limitOf] returns, and returns those
     * that are left out.
     */
    fun pack(indices: List<Int>, jobs: List<JobDemand>, limitOf: (Int) -> Long): List<Int> {
        val largestFirst = compareByDescending<Int> { jobs[it].remainingWork }.thenByDescending { limitOf(it) }
            .thenByDescending { it }
        val removable = PriorityQueue(largestFirst)
        val removableReserving = PriorityQueue(largestFirst)
        val leftOut = mutableListOf<Int>()
        for (i in indices.sortedBy(limitOf)) {
            val job = jobs[i]
            add(job, 1)
            if (!job.hasBegun) {
                removable += i
                if (!job.isBackfill) removableReserving += i
            }
            while (exceeds(job, limitOf(i))) {
                val largest = (if (job.isBackfill) removable else removableReserving).peek() ?: break
                removable.remove(largest)
                removableReserving.remove(largest)
                add(jobs[largest], -1)
                leftOut += largest
            }
        }
        return leftOut
    }

    private fun add(job: JobDemand, sign: Int) {
        work += sign * job.remainingWork
        if (!job.isBackfill) reservedWork += sign * job.remainingWork
    }

    /** Whether the work before the end of [job] takes longer than [millis]. Never in an unknown room. */
    private fun exceeds(job: JobDemand, millis: Long): Boolean = if (job.isBackfill) {
        room.backfill > 0 && millisFor(work, room.backfill) > millis
    } else {
        room.reservable > 0 && millisFor(reservedWork, room.reservable) > millis
    }
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
