package org.camphorhall.scheduler.agent

/**
 * Tracks whether the worker may have restarted under its id since its lists were last read. The new incarnation would
 * forget its own ends up to a number that acknowledges those of the one before, and would run what is started there.
 * Not thread-safe.
 */
internal class RestartCheck {
    /** Number of calls without a usable response. */
    var failedCalls = 0L
        private set

    /** Whether lists of the tracked incarnation were requested and read since the last failed call. */
    var isConfirmed = false
        private set

    fun recordFailedCall() {
        failedCalls++
        isConfirmed = false
    }

    /** Records lists of the tracked incarnation that were requested after [earlierFailures] failed calls. */
    fun recordLists(earlierFailures: Long) {
        if (earlierFailures == failedCalls) isConfirmed = true
    }
}
