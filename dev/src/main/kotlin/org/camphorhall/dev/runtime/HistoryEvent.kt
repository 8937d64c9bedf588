package org.camphorhall.dev.runtime

import kotlinx.serialization.Serializable

/** Start or end of an attempt. [atNanos] is a reading of the instance's monotonic clock. */
@Serializable
internal data class HistoryEvent(
    val atNanos: Long,
    /** `start`, `finished`, `failed` or `stopped`. */
    val event: String,
    val task: String,
    val epoch: Long,
    val attempt: Int,
    /** Progress of the attempt at the event, in milliseconds of run time at full CPU share. */
    val progressMillis: Long,
    /** Handle of the checkpoint that the attempt started from or of its last checkpoint; null if there is none. */
    val checkpoint: String?,
    /** Reason for a stop: `requested`, `deadline` or `superseded`; null for other events. */
    val reason: String? = null,
)
