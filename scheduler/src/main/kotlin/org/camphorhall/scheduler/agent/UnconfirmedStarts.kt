package org.camphorhall.scheduler.agent

import org.camphorhall.core.jobs.StartedAttempt
import org.camphorhall.platform.worker.StartResult
import org.camphorhall.platform.worker.WorkerTime

/**
 * Tracks the starts that another incarnation of the worker may have executed: it takes calls meant for the one before,
 * and the longest lease with them. Not thread-safe.
 */
internal class UnconfirmedStarts {
    private class SentStart(val token: Long) {
        var isPending = true

        /** Whether an incarnation has responded that may be another one. */
        var hasResponse = false
    }

    private val starts = LinkedHashMap<StartedAttempt, SentStart>()

    /** The starts that no list or response has settled. */
    val current: List<StartedAttempt> get() = starts.keys.toList()

    /** Whether a call is under way, so that its attempt may begin and end at any moment. */
    val hasPending: Boolean get() = starts.values.any { it.isPending }

    fun recordSent(attempt: StartedAttempt, token: Long) {
        starts[attempt] = SentStart(token)
    }

    /**
     * Records the result of the call. [isSameClock] tells whether a reading may be one of the tracked incarnation's
     * clock. Returns whether another incarnation may have responded.
     */
    fun recordResult(attempt: StartedAttempt, result: StartResult, isSameClock: (WorkerTime) -> Boolean): Boolean {
        val start = starts[attempt] ?: return false
        val isConfirmed = when (result) {
            is StartResult.Started -> result.time?.let(isSameClock) ?: false
            StartResult.Restarted, is StartResult.Unknown -> false
            is StartResult.Refused, is StartResult.Unhealthy, StartResult.Fenced -> true
        }
        if (isConfirmed) starts -= attempt
        start.isPending = false
        start.hasResponse = !isConfirmed && result !is StartResult.Unknown
        return start.hasResponse
    }

    /** Records that the call has ended, also without a result. */
    fun recordEnded(attempt: StartedAttempt) {
        starts[attempt]?.isPending = false
    }

    /**
     * The starts that lists of the tracked incarnation settle if they are requested now with the fencing token [token]:
     * it has executed these starts, or never will.
     */
    fun settledByLists(token: Long): Set<StartedAttempt> =
        if (starts.isEmpty()) emptySet() else starts.filterValues { it.hasResponse || it.token < token }.keys.toSet()

    fun settle(attempts: Set<StartedAttempt>) {
        starts -= attempts
    }
}
