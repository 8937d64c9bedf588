package org.camphorhall.core.jobs

import java.util.PriorityQueue

/** Which jobs get room first. */
internal enum class RoomRank {
    /** The job can meet its target, and there is room for it. */
    OnTime,

    /** The job could meet its target alone, but its delay costs less than that of the jobs before it. */
    Deferred,

    /** The target has passed or cannot be met any more; the result is still useful. */
    Late,

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
 * Ranks [jobs] so that, within each priority, as many as possible meet their targets in the [room]. Higher priorities take
 * their room first.
 *
 * Load pattern: for seconds, more work is due than the room can do, as in a burst of large jobs, after a loss of many
 * workers, or while a failure domain is evacuated. By deadlines alone every job then ends a little too late. Jobs are
 * taken by deadline, and whenever one of them would miss its target, the job that needs the most room is deferred (the
 * rule of Moore and Hodgson, which minimizes the number of late jobs). Jobs that have begun are never deferred, because
 * finishing them frees room sooner. While everything fits, nothing is deferred.
 */
internal fun rankByRoom(jobs: List<JobDemand>, room: Room, now: Long): List<RoomRank> {
    val ranks = jobs.mapTo(ArrayList(jobs.size)) { rankAlone(it, now) }
    // Work of unknown size and tasks that run until their job is cancelled say nothing about the room that they need.
    val onTime = jobs.indices.filter { ranks[it] == RoomRank.OnTime && jobs[it].remainingWork > 0 }
        .sortedWith(compareBy({ jobs[it].priority }, { jobs[it].deadline }))
    // Backfill tasks use what is not reserved, so that their jobs do not take the room of others.
    val reserving = Packing(room.reservable)
    val all = Packing(room.backfill)
    for (i in onTime) {
        val job = jobs[i]
        val packings = if (job.isBackfill) listOf(all) else listOf(reserving, all)
        val entry = Packing.Entry(job, i)
        packings.forEach { it.add(entry) }
        val packing = packings.first()
        while (packing.exceeds(job.deadline - now)) {
            val deferred = packing.largest() ?: break
            reserving.remove(deferred)
            all.remove(deferred)
            ranks[deferred.index] = RoomRank.Deferred
        }
    }
    return ranks
}

/** Work of jobs that is to be done in [room] thousandths of a core. */
private class Packing(private val room: Long) {
    class Entry(val job: JobDemand, val index: Int)

    private val deferrable = PriorityQueue(
        compareByDescending<Entry> { it.job.remainingWork }.thenByDescending { it.job.deadline }
            .thenByDescending { it.index },
    )
    private var priority: Int? = null
    private var work = 0.0

    fun add(entry: Entry) {
        // A job is not deferred for one of another priority.
        if (entry.job.priority != priority) deferrable.clear()
        priority = entry.job.priority
        work += entry.job.remainingWork
        if (!entry.job.hasBegun) deferrable += entry
    }

    /** Whether the work takes longer than [millis]. Never without room, which an owner may not know yet. */
    fun exceeds(millis: Long): Boolean = room > 0 && millisFor(work, room) > millis

    /** The job that needs the most room of those that may be deferred. */
    fun largest(): Entry? = deferrable.peek()

    fun remove(entry: Entry) {
        if (deferrable.remove(entry)) work -= entry.job.remainingWork
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
