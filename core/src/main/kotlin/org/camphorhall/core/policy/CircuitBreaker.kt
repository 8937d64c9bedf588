package org.camphorhall.core.policy

/**
 * Circuit breaker for a service that can be unavailable for seconds under steady load.
 *
 * It opens after [FAILURE_THRESHOLD] consecutive failures, so that callers do not each wait for a timeout. While it is
 * open, one probe call per [PROBE_INTERVAL_MILLIS] finds out whether the service is available again.
 */
public class CircuitBreaker {
    private var consecutiveFailures = 0
    private var lastProbeAt = 0L

    /** Returns whether to call at [now] (steady clock, in milliseconds). While open, it reserves the next probe. */
    @Synchronized
    public fun allowCall(now: Long): Boolean {
        if (consecutiveFailures < FAILURE_THRESHOLD) return true
        if (now - lastProbeAt < PROBE_INTERVAL_MILLIS) return false
        lastProbeAt = now
        return true
    }

    /** Records that the service responded, which closes the breaker. */
    @Synchronized
    public fun recordSuccess() {
        consecutiveFailures = 0
    }

    /** Records that a call failed at [now] (steady clock, in milliseconds). */
    @Synchronized
    public fun recordFailure(now: Long) {
        consecutiveFailures++
        if (consecutiveFailures == FAILURE_THRESHOLD) lastProbeAt = now
    }

    private companion object {
        /** One failure is not enough, since a single call can fail while the service is healthy. */
        const val FAILURE_THRESHOLD = 2

        /** Interval between probes, which bounds the time until a recovered service is detected. */
        const val PROBE_INTERVAL_MILLIS = 250L
    }
}
