package org.camphorhall.dev.http

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Faults that a server injects. `PUT /faults` replaces all of them, so `{}` ends every fault. */
@Serializable
internal data class Faults(
    /** Every request is rejected with status 503 and has no effect. */
    val outage: Boolean = false,
    /** Delay before a request is handled, in milliseconds. */
    val delayMillis: Long = 0,
    /** Mutating requests take effect, but their responses are never sent. */
    @SerialName("dropAnswers")
    val dropResponses: Boolean = false,
    /** Share of the mutating requests, in percent, that never receive a response and take effect after [lateMillis]. */
    val latePercent: Int = 0,
    /** Delay of the requests of [latePercent], in milliseconds. */
    val lateMillis: Long = 0,
    /** Requests are accepted, have no effect and never receive a response. */
    val silent: Boolean = false,
    /** Ends all leases once, when it is set. Supported by the key-value services only. */
    @SerialName("lapseLeases")
    val expireLeases: Boolean = false,
    /** Every task that starts fails at once. Supported by the worker runtime only. */
    val failTasks: Boolean = false,
    /** Calls that stop a task have no effect and receive no response. Supported by the workers of a fleet only. */
    val dropStops: Boolean = false,
    /**
     * Delay before a call that stops a task is handled, in milliseconds; it is handled even if its caller gives up.
     * Supported by the workers of a fleet only.
     */
    val delayStopsMillis: Long = 0,
)
