package org.camphorhall.core.jobs

import kotlinx.serialization.Serializable

/** An attempt that a worker reports as running. */
@Serializable
public data class RunningAttempt(
    val task: TaskRef,
    val attempt: Int,
    /** Latest checkpoint; empty if there is none. */
    val checkpoint: String = "",
    /** Progress in percent; 100 for a long-running task that has finished its start-up. */
    val percent: Int = 0,
    /** Tail latency in milliseconds for a task with a latency target, otherwise CPU usage in thousandths of a core. */
    val load: Long = 0,
    /** CPU share granted to a backfill task, in percent; 100 is unthrottled, null unknown. */
    val share: Int? = 100,
)
