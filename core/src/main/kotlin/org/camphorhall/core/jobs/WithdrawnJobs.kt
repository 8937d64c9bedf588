package org.camphorhall.core.jobs

/**
 * Ids of jobs that callers cancelled before they were stored, each with the time at which this owner first read it. The
 * times are not stored, so that no clock of another process matters; a new owner counts again.
 */
internal class WithdrawnJobs(private val retentionMillis: Long) {
    private var readAt: Map<String, Long> = emptyMap()

    /** Replaces the ids by [ids], which were read at [now]. */
    fun update(ids: Set<String>, now: Long) {
        readAt = ids.associateWith { readAt[it] ?: now }
    }

    /** The ids whose retention time has passed. */
    fun expired(now: Long): Set<String> = readAt.filterValues { it + retentionMillis < now }.keys
}
