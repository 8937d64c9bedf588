package org.camphorhall.core.jobs

import kotlinx.serialization.Serializable

/** The stored form of an accepted job; immutable. */
@Serializable
public data class JobRecord(
    val id: String,
    val spec: JobSpec,
    val jobClass: JobClass,
    /** Time of acceptance in milliseconds since 1970, on the clock of the entry. */
    val acceptedAtMillis: Long,
)
