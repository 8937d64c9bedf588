package org.camphorhall.scheduler.agent

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Delay before a call to a worker is tried again. It doubles with each consecutive failure, because each call that
 * fails may cost the worker a new connection. Even the longest delay leaves several tries within a lease.
 */
internal class RetryDelay {
    private var failures = 0

    /** The delay after the failures so far. */
    val current: Duration
        @Synchronized get() = MIN * (1 shl failures.coerceIn(0, MAX_DOUBLINGS))

    /** Records a failed call. */
    @Synchronized
    fun recordFailure() {
        failures++
    }

    /** Resets the delay after a successful call. */
    @Synchronized
    fun reset() {
        failures = 0
    }

    private companion object {
        val MIN = 50.milliseconds
        const val MAX_DOUBLINGS = 3
    }
}
