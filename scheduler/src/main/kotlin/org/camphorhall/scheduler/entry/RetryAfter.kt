package org.camphorhall.scheduler.entry

import kotlin.math.ceil
import kotlin.random.Random

/**
 * Chooses when the caller of a job that was turned away for lack of room should return: when room is expected, later
 * with each refusal of the same job, and spread, so that the callers of a burst do not return together.
 */
internal class RetryAfter(private val random: Random = Random.Default) {
    /** Refusals by job. The oldest entries are evicted. */
    private val refusals = object : LinkedHashMap<String, Int>() {
        override fun removeEldestEntry(eldest: Map.Entry<String, Int>): Boolean = size > CAPACITY
    }

    /** Whole seconds until the caller of [job] should return, if room is expected [roomAfterMillis] from now. */
    fun seconds(job: String, roomAfterMillis: Long): Int {
        val repeats = synchronized(refusals) { refusals.merge(job, 1, Int::plus)!! } - 1
        val growth = 1 + minOf(repeats, MAX_REPEATS) * GROWTH
        val millis = roomAfterMillis * growth * (1 + random.nextDouble(SPREAD))
        return ceil(millis / MILLIS_PER_SECOND).coerceIn(1.0, MAX_SECONDS).toInt()
    }

    private companion object {
        const val CAPACITY = 4_096
        const val MAX_REPEATS = 6
        const val GROWTH = 0.5

        /** Greatest part of the time by which it is extended at random. */
        const val SPREAD = 0.5
        const val MILLIS_PER_SECOND = 1_000.0

        /** Forecasts beyond this are too uncertain to keep a caller away. */
        const val MAX_SECONDS = 60.0
    }
}
