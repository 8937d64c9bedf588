package org.camphorhall.scheduler.agent

/**
 * How long an agent waits for an answer of the owner before it takes the connection to be silent and makes a new one.
 *
 * Load pattern: a new owner without processor time answers late. Agents that connect again each time make it read their
 * whole lists once more, and it never catches up.
 */
internal class ResponseTimeout {
    private var consecutiveTimeouts = 0

    /** Present limit in milliseconds. */
    val millis: Long
        @Synchronized get() = (INITIAL_MILLIS shl consecutiveTimeouts).coerceAtMost(MAX_MILLIS)

    /** Notes that the owner answered. */
    @Synchronized
    fun recordResponse() {
        consecutiveTimeouts = 0
    }

    /** Notes that a connection was given up for its silence. */
    @Synchronized
    fun recordTimeout() {
        if (millis < MAX_MILLIS) consecutiveTimeouts++
    }

    private companion object {
        /** The owner answers reports every 0.25 s, and agents report every 0.7 s. */
        const val INITIAL_MILLIS = 1_500L

        /** Twice the lease of a worker: whatever it ran has stopped by then, so that little depends on the answer. */
        const val MAX_MILLIS = 6_000L
    }
}
