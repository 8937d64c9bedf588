package org.camphorhall.scheduler.agent

import org.camphorhall.core.jobs.StartedAttempt

/** What a poll of the worker's lists was requested with, and the state of the link at that time. */
internal class PollRequest(
    val token: Long,
    val lastStoredEnd: Long,
    /** End of the lease on the worker's clock; null to extend none. */
    val until: Long?,
    val connectionNumber: Int,
    /** All commands up to this number were completed before the call. */
    val lastCompletedCommand: Long,
    val sentAt: Long,
    /** Number of failed calls before this one. */
    val failedCalls: Long,
    /** Starts that the lists settle. */
    val settledStarts: Set<StartedAttempt>,
)
