package org.camphorhall.core.jobs

/** A job and its place among the jobs that need room. */
internal class RankedJob(val job: TrackedJob, val demand: JobDemand, val rank: RoomRank) {
    /** Whether the job gives way to others although it could meet its target, or be useful, alone. */
    fun isDeferred(now: Long): Boolean = rank > rankAlone(demand, now)
}
