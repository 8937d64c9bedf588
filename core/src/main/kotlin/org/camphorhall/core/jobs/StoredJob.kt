package org.camphorhall.core.jobs

/** A job as found in the store: its record, its progress with the revision of that, and whether it was cancelled. */
public data class StoredJob(
    val record: JobRecord,
    val progress: ProgressRecord?,
    val progressRevision: Long,
    val cancelled: Boolean,
)
