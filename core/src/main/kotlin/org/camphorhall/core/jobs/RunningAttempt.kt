package org.camphorhall.core.jobs

import kotlinx.serialization.Serializable

/** One attempt that a worker runs. */
@Serializable
public data class RunningAttempt(
    val task: TaskRef,
    val attempt: Int,
    /** Newest checkpoint; empty if there is none. */
    val checkpoint: String = "",
    /** Progress in percent; a long-running task is at work at 100. */
    val percent: Int = 0,
    /** Tail latency in milliseconds for a task with a latency target, processors in use (thousandths) otherwise. */
    val load: Long = 0,
    /** Share of its processors that a backfill task gets, in percent. */
    val share: Int = 100,
)
