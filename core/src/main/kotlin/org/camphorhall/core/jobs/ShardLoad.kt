package org.camphorhall.core.jobs

import kotlinx.serialization.Serializable

/** The accepted work on the workers of [service] that may still end in time to be useful, and the room for it. */
@Serializable
public data class ShardLoad(
    val service: String,
    /** CPU that tasks can reserve, in thousandths of a core. */
    val reservable: Long,
    /** CPU for backfill tasks, in thousandths of a core; it contains [reservable]. */
    val backfill: Long,
    val work: List<DueWork>,
) {
    /** Time that all of the work takes, in milliseconds; 0 if the room is unknown. */
    internal val backlogMillis: Long
        get() = maxOf(
            millisOf(reservable) { !it.isBackfill },
            millisOf(backfill) { true },
        )

    private fun millisOf(room: Long, isCounted: (DueWork) -> Boolean): Long =
        if (room > 0) millisFor(work.filter(isCounted).sumOf { it.work }, room) else 0
}

/** Work of class [priority], in core-milliseconds, that is useful if it ends within [withinMillis]. */
@Serializable
public data class DueWork(
    val priority: Int,
    val isBackfill: Boolean,
    val withinMillis: Long,
    val work: Double,
)

/** Sums the work of [jobs] on [service] by priority, by kind and by the time until which it is useful, at [now]. */
internal fun shardLoad(service: String, jobs: List<JobDemand>, room: Room, now: Long): ShardLoad {
    val work = jobs.filter { rankAlone(it, now) != RoomRank.TooLate }
        .groupBy { Triple(it.priority, it.isBackfill, roundUp(it.usefulUntil - now)) }
        .map { (key, due) -> DueWork(key.first, key.second, key.third, due.sumOf { it.remainingWork }) }
        .sortedWith(compareBy({ it.priority }, { it.isBackfill }, { it.withinMillis }))
    return ShardLoad(service, room.reservable, room.backfill, work)
}

/** Rounds up to a power of two of seconds, so that the load has few rows however many jobs there are. */
private fun roundUp(millis: Long): Long {
    var limit = SHORTEST_MILLIS
    while (limit < millis && limit < LONGEST_MILLIS) limit *= 2
    return limit
}

private const val SHORTEST_MILLIS = 1_000L

/** Twelve days. */
private const val LONGEST_MILLIS = 1_048_576_000L
