package org.camphorhall.core.jobs

/** A job loaded from the store: its record, its progress with its store revision, and whether it was cancelled. */
public data class StoredJob(
    val record: JobRecord,
    val progress: ProgressRecord?,
    val progressRevision: Long,
    val cancelled: Boolean,
)
