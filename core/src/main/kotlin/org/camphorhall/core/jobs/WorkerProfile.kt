package org.camphorhall.core.jobs

import kotlinx.serialization.Serializable
import org.camphorhall.core.model.Resources

/** The self-reported properties of a worker. */
@Serializable
public data class WorkerProfile(
    val key: WorkerKey,
    val service: String,
    val failureDomain: String,
    val capacity: Resources,
    /** The type of the worker, followed by its rack. */
    val labels: List<String> = emptyList(),
    val draining: Boolean = false,
    /** Minimum time until a draining worker ends, in milliseconds. */
    val remainingMillis: Long? = null,
    /** Remaining time during which the worker is slow after its start, in milliseconds. */
    val warmUpMillis: Long = 0,
)
