package org.camphorhall.core.policy

/**
 * Decides whether a service that failed lately is called.
 *
 * Load pattern: a service is away for seconds while callers keep coming. A caller that waits for a time-out of its own
 * gains nothing; after a few failures only single calls find out whether the service is back.
 */
public class CircuitBreaker {
    private var failures = 0
    private var probedAt = 0L

    /** Whether the service may be called at [now] (steady clock, in milliseconds). */
    @Synchronized
    public fun allowCall(now: Long): Boolean {
        if (failures < FAILURE_THRESHOLD) return true
        if (now - probedAt < PROBE_INTERVAL_MILLIS) return false
        probedAt = now
        return true
    }

    /** Notes that the service answered. */
    @Synchronized
    public fun recordSuccess() {
        failures = 0
    }

    /** Notes that a call failed at [now]. */
    @Synchronized
    public fun recordFailure(now: Long) {
        failures++
        if (failures == FAILURE_THRESHOLD) probedAt = now
    }

    private companion object {
        /** A single call can be lost while the service is sound. */
        const val FAILURE_THRESHOLD = 2

        /** Between two calls of a service that is away: its return is noticed within this time. */
        const val PROBE_INTERVAL_MILLIS = 250L
    }
}
