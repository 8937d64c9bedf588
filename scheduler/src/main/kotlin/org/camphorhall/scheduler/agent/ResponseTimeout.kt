package org.camphorhall.scheduler.agent

/**
 * Time without a message from the owner after which an agent reconnects. It doubles with each consecutive timeout.
 *
 * A new owner that is short of CPU time responds late. Every reconnect makes it read a complete report again, so
 * agents that keep reconnecting would prevent it from catching up.
 */
internal class ResponseTimeout {
    private var consecutiveTimeouts = 0

    /** Current timeout in milliseconds. */
    val millis: Long
        @Synchronized get() = (INITIAL_MILLIS shl consecutiveTimeouts).coerceAtMost(MAX_MILLIS)

    /** Resets the timeout after a message from the owner. */
    @Synchronized
    fun recordResponse() {
        consecutiveTimeouts = 0
    }

    /** Records that a connection was closed because of the timeout. */
    @Synchronized
    fun recordTimeout() {
        if (millis < MAX_MILLIS) consecutiveTimeouts++
    }

    private companion object {
        /** Agents report every 0.7 s, and the owner responds to at most one report per 0.25 s. */
        const val INITIAL_MILLIS = 1_500L

        /** Twice the worker lease: the worker has stopped its tasks by then, so a late response costs little. */
        const val MAX_MILLIS = 6_000L
    }
}
