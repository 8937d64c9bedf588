package org.camphorhall.core.jobs

/**
 * Converts leases from the steady clock of an agent to that of its worker, which may run 2 % slow. The converted lease
 * never ends later than the original.
 */
public class WorkerLease {
    private var workerClockMillis = 0L
    private var clockReadAt: Long? = null

    /** End of the lease on the agent's clock; 0 if there is none. */
    public var grantedUntil: Long = 0
        private set

    /** Whether the worker's clock was read. */
    public val isSynchronized: Boolean get() = clockReadAt != null

    /** Records that a response received at [now] contained [millis] as the reading of the worker's clock. */
    public fun recordClock(millis: Long, now: Long) {
        workerClockMillis = millis
        clockReadAt = now
    }

    /** Extends the lease to [leaseMillis] after [from]; never shortens it. */
    public fun grant(from: Long, leaseMillis: Long) {
        if (leaseMillis > 0) grantedUntil = maxOf(grantedUntil, from + leaseMillis)
    }

    /** End of the lease on the clock of the worker; null without a lease or a clock reading. */
    public fun endOnWorkerClock(now: Long): Long? {
        val at = clockReadAt ?: return null
        if (grantedUntil <= now) return null
        // The worker's clock showed at least workerClockMillis when the response was received.
        return workerClockMillis + (grantedUntil - at) * MIN_CLOCK_RATE_PERCENT / FULL_PERCENT
    }

    private companion object {
        const val MIN_CLOCK_RATE_PERCENT = 98
        const val FULL_PERCENT = 100
    }
}
