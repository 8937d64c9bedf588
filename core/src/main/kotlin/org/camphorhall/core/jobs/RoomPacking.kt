package org.camphorhall.core.jobs

/** Work that is to be done in a room, in core-milliseconds. [all] contains the backfill work, [reserving] does not. */
internal data class UsedRoom(val reserving: Double, val all: Double) {
    operator fun plus(job: JobDemand): UsedRoom = add(job, 1)

    operator fun minus(job: JobDemand): UsedRoom = add(job, -1)

    private fun add(job: JobDemand, sign: Int): UsedRoom {
        val work = sign * job.remainingWork
        return UsedRoom(if (job.isBackfill) reserving else reserving + work, all + work)
    }
}

/** Which jobs were left out, and the room that the others use. */
internal class PackedRoom(val leftOut: List<Int>, val used: UsedRoom)

/**
 * Chooses which of [jobs] fit into [room]. Backfill work takes no room from work that reserves its CPU. [meanWork] is
 * the mean work of a job, by which the cost of a delay is measured.
 */
internal class RoomPacking(private val jobs: List<JobDemand>, private val room: Room, private val meanWork: Double) {
    /** Chooses the job to leave out of [candidates], of which [excess] core-milliseconds of work do not fit. */
    private fun interface Choice {
        fun of(candidates: List<Int>, excess: Double): Int
    }

    /** The job whose delay costs least for the room that it frees. */
    private val cheapestForItsRoom = Choice { candidates, _ ->
        candidates.minWith(compareBy({ costOf(jobs[it]) / jobs[it].remainingWork }, { -it }))
    }

    /** The job whose delay costs least of those that free enough room alone. */
    private val cheapestThatSuffices = Choice { candidates, excess ->
        val enough = candidates.filter { jobs[it].remainingWork >= excess }
        if (enough.isEmpty()) {
            cheapestForItsRoom.of(candidates, excess)
        } else {
            enough.minWith(compareBy({ costOf(jobs[it]) }, { -it }))
        }
    }

    /**
     * Takes the jobs with [indices] by the time in milliseconds that [limitOf] returns, beside what is [used], and
     * leaves out those that do not fit, so that it costs callers least.
     */
    fun pack(indices: List<Int>, used: UsedRoom, limitOf: (Int) -> Long): PackedRoom =
        listOf(cheapestThatSuffices, cheapestForItsRoom).map { pack(indices, used, limitOf, it) }
            .minBy { packed -> packed.leftOut.sumOf { costOf(jobs[it]) } }

    private fun pack(indices: List<Int>, before: UsedRoom, limitOf: (Int) -> Long, choice: Choice): PackedRoom {
        var used = before
        val taken = mutableListOf<Int>()
        val leftOut = mutableListOf<Int>()
        for (i in indices.sortedBy(limitOf)) {
            val job = jobs[i]
            used += job
            if (!job.hasBegun) taken += i
            while (true) {
                val excess = excessOf(job, used, limitOf(i))
                val candidates = taken.filter { jobs[it].isBackfill == job.isBackfill }
                if (excess <= 0 || candidates.isEmpty()) break
                val next = choice.of(candidates, excess)
                taken -= next
                leftOut += next
                used -= jobs[next]
            }
        }
        return PackedRoom(leftOut, used)
    }

    /** Work before the end of [job] that cannot be done in [millis]; none in an unknown room. */
    private fun excessOf(job: JobDemand, used: UsedRoom, millis: Long): Double {
        val cpu = if (job.isBackfill) room.backfill else room.reservable
        if (cpu <= 0) return 0.0
        return (if (job.isBackfill) used.all else used.reserving) - workIn(millis, cpu)
    }

    /**
     * What a delay costs the caller of [job], against 1 for a job with the mean work: a part is the same for each
     * caller, and the rest grows with the work that the caller waits for.
     */
    private fun costOf(job: JobDemand): Double =
        COST_OF_ANY_JOB + (1 - COST_OF_ANY_JOB) * minOf(job.totalWork / meanWork, MAX_RELATIVE_WORK)

    private companion object {
        /** The users value a job by 0.3 and by 0.7 of its work against the mean, up to four times the mean. */
        const val COST_OF_ANY_JOB = 0.3
        const val MAX_RELATIVE_WORK = 4.0
    }
}
