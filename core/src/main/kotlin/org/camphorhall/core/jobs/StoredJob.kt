package org.camphorhall.core.jobs

/**
 * A job loaded from the store: its record, its progress with its store revision, and whether it was cancelled.
 * [recordRevision] is the store revision of the record; 0 if it is not known.
 */
public data class StoredJob(
    val record: JobRecord,
    val progress: ProgressRecord?,
    val progressRevision: Long,
    val cancelled: Boolean,
    val recordRevision: Long = 0,
)
