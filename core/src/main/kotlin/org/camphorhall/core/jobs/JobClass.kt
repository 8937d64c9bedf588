package org.camphorhall.core.jobs

import kotlinx.serialization.Serializable

/** A class of work as configured by the operators. */
@Serializable
public data class JobClass(
    /** Stable name: the address of the class for callers. */
    val id: String,
    /** The service whose workers run the class. */
    val service: String,
    /** Scheduling priority; 0 is the most urgent. */
    val priority: Int,
    /** Number of failed attempts of one task after which its job has failed. */
    val maxAttempts: Int,
    /** The target duration of a job is this multiple of its critical path, plus [targetMillis]. */
    val stretch: Double,
    val targetMillis: Long,
    /** Timeout of a caller's request, in milliseconds. */
    val timeoutMillis: Long,
)
