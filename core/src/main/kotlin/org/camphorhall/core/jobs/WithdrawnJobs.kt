package org.camphorhall.core.jobs

/**
 * Ids of jobs that callers cancelled before they were stored, each with the time at which the owner of the shard first
 * read it. The times are not stored, so that no clock of another process matters; a new owner counts again. Durations
 * are in milliseconds.
 */
public class WithdrawnJobs(private val retentionMillis: Long) {
    private var readAt: Map<String, Long> = emptyMap()

    /** Replaces the ids by [ids], which were read at [now]. */
    public fun update(ids: Set<String>, now: Long) {
        readAt = ids.associateWith { readAt[it] ?: now }
    }

    /** The ids whose retention time has passed. */
    public fun expired(now: Long): Set<String> = readAt.filterValues { it + retentionMillis < now }.keys
}
