package org.camphorhall.scheduler.agent

import org.camphorhall.core.jobs.RejectedStart

/** Rejected starts, which are repeated in several reports because a report may be lost. Not thread-safe. */
internal class RecentRejections {
    private var rejections = emptyList<Pair<Long, RejectedStart>>()

    /** Adds a rejection at [now], on the steady clock in milliseconds. */
    fun add(rejection: RejectedStart, now: Long) {
        rejections = rejections + (now to rejection)
    }

    /** Rejections to report at [now]; forgets older ones. */
    fun current(now: Long): List<RejectedStart> {
        rejections = rejections.filter { (at, _) -> now - at < RETENTION_MILLIS }
        return rejections.map { it.second }
    }

    private companion object {
        const val RETENTION_MILLIS = 3_000L
    }
}
