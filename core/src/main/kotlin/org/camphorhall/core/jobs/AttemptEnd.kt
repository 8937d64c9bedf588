package org.camphorhall.core.jobs

import kotlinx.serialization.Serializable

/** The end of an attempt. [number] counts the ends within one incarnation of the worker, from 1. */
@Serializable
public data class AttemptEnd(
    val number: Long,
    val task: TaskRef,
    val attempt: Int,
    val cause: EndCause,
    val checkpoint: String = "",
)

/** How an attempt ended. */
@Serializable
public enum class EndCause {
    Done,

    /** The task failed, due to a fault of the task or of the worker. */
    Failed,
    Stopped,

    /** The lease of the worker expired. */
    LeaseExpired,

    /** Another member of the gang ended. */
    GangBroken,

    /** The other members of the gang did not start in time. */
    GangIncomplete,
}
