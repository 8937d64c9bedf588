package org.camphorhall.dev.http

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Faults that a server shows. A `PUT /faults` replaces all of them, so `{}` ends every fault. */
@Serializable
internal data class Faults(
    /** Every call is refused with 503 and has no effect. */
    val outage: Boolean = false,
    /** Delay before a call is handled. */
    val delayMillis: Long = 0,
    /** Changing calls take effect, and their answers never come. */
    @SerialName("dropAnswers")
    val dropResponses: Boolean = false,
    /** Calls are accepted, have no effect and are never answered. */
    val silent: Boolean = false,
    /** Ends all leases now. Not a lasting fault; only the store has it. */
    @SerialName("lapseLeases")
    val expireLeases: Boolean = false,
    /** Every task that starts fails at once. Only the worker runtime has it. */
    val failTasks: Boolean = false,
)
