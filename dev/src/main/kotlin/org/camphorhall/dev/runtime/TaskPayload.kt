package org.camphorhall.dev.runtime

import kotlinx.serialization.Serializable

/** Payload of a task, which runs for [runMillis] at full CPU share and then finishes with [result] or fails. */
@Serializable
internal data class TaskPayload(
    val runMillis: Long = 1000,
    val fail: Boolean = false,
    val result: String = "",
    /** CPU that the task actually uses, in millicores; the requested amount if null. */
    val usedCpuMillis: Long? = null,
    /** Memory that the task actually uses, in MiB; the requested amount if null. */
    val usedMemoryMib: Long? = null,
)
