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

/** Ranks jobs that share a room, in thousandths of a core, at a time. */
internal typealias RoomRanking = (jobs: List<JobDemand>, room: Long, now: Long) -> List<RoomRank>

/**
 * Ranks [jobs] so that, within each priority, as many as possible meet their targets in the [room], in thousandths of a
 * core. Higher priorities take their room first.
 *
 * Load pattern: for seconds, more work is due than the room can do, as in a burst of large jobs, after a loss of many
 * workers, or while a failure domain is evacuated. By deadlines alone every job then ends a little too late. Jobs are
 * taken by deadline, and whenever one of them would miss its target, the job that needs the most room is deferred (the
 * rule of Moore and Hodgson, which minimizes the number of late jobs). Jobs that have begun are never deferred, because
 * finishing them frees room sooner. While everything fits, nothing is deferred.
 */
internal fun rankByRoom(jobs: List<JobDemand>, room: Long, now: Long): List<RoomRank> {
    val ranks = jobs.mapTo(ArrayList(jobs.size)) { rankAlone(it, now) }
    if (room <= 0) return ranks
    // Work of unknown size and tasks that run until their job is cancelled say nothing about the room that they need.
    val onTime = jobs.indices.filter { ranks[it] == RoomRank.OnTime && jobs[it].remainingWork > 0 }
        .sortedWith(compareBy({ jobs[it].priority }, { jobs[it].deadline }))
    val deferrable = PriorityQueue<Int>(compareByDescending { jobs[it].remainingWork })
    var priority: Int? = null
    var work = 0.0
    for (i in onTime) {
        val job = jobs[i]
        if (job.priority != priority) deferrable.clear()
        priority = job.priority
        work += job.remainingWork
        if (!job.hasBegun) deferrable += i
        while (now + millisFor(work, room) > job.deadline) {
            val largest = deferrable.poll() ?: break
            work -= jobs[largest].remainingWork
            ranks[largest] = RoomRank.Deferred
        }
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
