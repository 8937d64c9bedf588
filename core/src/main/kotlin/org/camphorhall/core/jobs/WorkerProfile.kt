package org.camphorhall.core.jobs

import kotlinx.serialization.Serializable
import org.camphorhall.core.model.Resources

/** What a worker says of itself. */
@Serializable
public data class WorkerProfile(
    val key: WorkerKey,
    val service: String,
    val failureDomain: String,
    val capacity: Resources,
    /** Kind of the worker and its rack. */
    val labels: List<String> = emptyList(),
    val draining: Boolean = false,
    /** Minimum time until a draining worker ends, in milliseconds. */
    val remainingMillis: Long? = null,
    /** How much longer the worker is slow after its start, in milliseconds. */
    val warmUpMillis: Long = 0,
)
