package org.camphorhall.core.jobs

/**
 * Lease of a worker as seen by its agent. Converts leases from the steady clock of the agent to that of the worker,
 * which may run 2 % slow; the converted lease never ends later than the original. Times are in milliseconds.
 *
 * An agent that reports an upper bound of the lease must not exceed it later: see [renounce].
 *
 * @param sentUntil time until which an earlier agent may have extended the lease, on the agent's clock
 */
public class WorkerLease(sentUntil: Long = 0) {
    /** Reading [millis] of the worker's clock in a response received at [at]. */
    private class Reading(val at: Long, val millis: Long)

    private val readings = ArrayDeque<Reading>()
    private var renouncedAt = Long.MIN_VALUE

    /** Time until which the worker may hold a lease that was sent to it, on the agent's clock. */
    private var sentUntil = sentUntil

    /** End of the lease on the worker's clock. */
    private var grantedEnd = 0L

    /** End of the lease that was sent last, on the worker's clock. */
    private var sentEnd = 0L

    /** End of the lease on the agent's clock; 0 if there is none. */
    public var grantedUntil: Long = 0
        private set

    /** Records that a response received at [now] contained [millis] as the reading of the worker's clock. */
    public fun recordClock(millis: Long, now: Long) {
        readings += Reading(now, millis)
        while (readings.size > 1 && now - readings[1].at >= READING_RETENTION_MILLIS) readings.removeFirst()
    }

    /**
     * Whether the clock that shows [millis] in a response received at [now] may be the one that was read before
     * [sentAt], when the call was sent. The clock of another incarnation begins anew.
     */
    public fun isSameClock(millis: Long, sentAt: Long, now: Long): Boolean {
        val reading = readings.lastOrNull { it.at <= sentAt } ?: return false
        val earliest =
            reading.millis + (sentAt - reading.at) * MIN_RELATIVE_RATE_PERCENT / FULL_PERCENT - ROUNDING_MILLIS
        val latest = reading.millis + (now - reading.at) * DRIFT_PERCENT / FULL_PERCENT + READING_AGE_MILLIS
        return millis in earliest..latest
    }

    /**
     * Extends the lease to [leaseMillis] after [from], the time of the report that the owner responds to; never
     * shortens it. Has no effect if the lease was renounced since, or if no reading of the worker's clock precedes the
     * report.
     */
    public fun grant(from: Long, leaseMillis: Long) {
        val until = from + leaseMillis
        if (leaseMillis <= 0 || from <= renouncedAt || until <= grantedUntil) return
        // The agent's clock may stop during a suspension; a reading from after it would extend the lease.
        val reading = readings.lastOrNull { it.at <= from } ?: return
        grantedUntil = until
        // The worker's clock showed at least the reading when the response was received.
        grantedEnd = maxOf(grantedEnd, reading.millis + (until - reading.at) * MIN_CLOCK_RATE_PERCENT / FULL_PERCENT)
    }

    /** Gives up what was granted and not sent to the worker, and all grants for reports made until [now]. */
    public fun renounce(now: Long) {
        if (grantedUntil > sentUntil) {
            grantedUntil = sentUntil
            grantedEnd = sentEnd
        }
        renouncedAt = now
    }

    /** End of the lease on the clock of the worker; null without a lease. */
    public fun endOnWorkerClock(now: Long): Long? = grantedEnd.takeIf { grantedUntil > now && it > 0 }

    /** Like [endOnWorkerClock], for a call that is sent to the worker. */
    public fun send(now: Long): Long? = endOnWorkerClock(now)?.also {
        sentUntil = maxOf(sentUntil, grantedUntil)
        sentEnd = it
    }

    /** Upper bound of the time for which the worker may hold a lease that was sent to it. */
    public fun remaining(now: Long): Long = (sentUntil - now).coerceAtLeast(0) * DRIFT_PERCENT / FULL_PERCENT

    private companion object {
        const val MIN_CLOCK_RATE_PERCENT = 98

        /** Lowest rate of the worker's clock on an agent's clock that runs 1 % fast. */
        const val MIN_RELATIVE_RATE_PERCENT = 97
        const val ROUNDING_MILLIS = 2L

        /** Allows for a worker clock that runs up to 2 % slow and 1 % of drift of the agent's clock. */
        const val DRIFT_PERCENT = 103
        const val FULL_PERCENT = 100

        /** Longer than a lease, so that a reading precedes each report whose response may still grant one. */
        const val READING_RETENTION_MILLIS = 4_000L

        /** Time for which a response, and so the reading in it, may have been under way. */
        const val READING_AGE_MILLIS = 1_600L
    }
}
