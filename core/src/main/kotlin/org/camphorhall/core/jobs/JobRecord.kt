package org.camphorhall.core.jobs

import kotlinx.serialization.Serializable

/** An accepted job as it is stored. It never changes. */
@Serializable
public data class JobRecord(
    val id: String,
    val spec: JobSpec,
    val jobClass: JobClass,
    /** Time of acceptance in milliseconds since 1970, by the clock of the entry. */
    val acceptedAtMillis: Long,
)
