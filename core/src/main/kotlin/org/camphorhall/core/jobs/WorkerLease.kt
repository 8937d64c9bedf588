package org.camphorhall.core.jobs

/**
 * Translates leases from an agent's steady clock to the steady clock of its worker, which may run 2 % slow. The result
 * is never later than the lease.
 */
public class WorkerLease {
    private var workerClockMillis = 0L
    private var clockReadAt: Long? = null

    /** End of the lease that the agent may pass on, on its own clock; 0 if there is none. */
    public var grantedUntil: Long = 0
        private set

    /** Whether the worker's clock was read. */
    public val isSynchronized: Boolean get() = clockReadAt != null

    /** Notes that an answer of the worker that came at [now] shows [millis] on its clock. */
    public fun recordClock(millis: Long, now: Long) {
        workerClockMillis = millis
        clockReadAt = now
    }

    /** Notes a grant of [leaseMillis] from [from] on. A grant never shortens the lease. */
    public fun grant(from: Long, leaseMillis: Long) {
        if (leaseMillis > 0) grantedUntil = maxOf(grantedUntil, from + leaseMillis)
    }

    /** The end of the lease on the worker's clock; null if there is no lease or the clock is not known. */
    public fun endOnWorkerClock(now: Long): Long? {
        val at = clockReadAt ?: return null
        if (grantedUntil <= now) return null
        // The worker's clock showed at least workerClockMillis when the answer came.
        return workerClockMillis + (grantedUntil - at) * SLOW_PERCENT / FULL_PERCENT
    }

    private companion object {
        const val SLOW_PERCENT = 98
        const val FULL_PERCENT = 100
    }
}
