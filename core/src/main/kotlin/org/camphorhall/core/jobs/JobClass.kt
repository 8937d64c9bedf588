package org.camphorhall.core.jobs

import kotlinx.serialization.Serializable

/** A class of work as the operators configure it. */
@Serializable
public data class JobClass(
    /** Stable name: where callers address the class. */
    val id: String,
    /** The service whose workers run the class. */
    val service: String,
    /** 0 is the most urgent. */
    val priority: Int,
    /** Number of failed attempts of one task after which its job has failed. */
    val maxAttempts: Int,
    /** The target of a job is this many times its longest chain of work, plus [targetMillis]. */
    val stretch: Double,
    val targetMillis: Long,
    /** How long a caller's request may take, in milliseconds. */
    val timeoutMillis: Long,
)
