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
    /** CPU share granted to a backfill task, in percent; 100 is unthrottled. */
    val share: Int = FULL_SHARE,
    /** Whether [share] is known. A field of its own, since earlier builds decode only numbers as shares. */
    val isShareKnown: Boolean = true,
) {
    /** The share, or null while it is unknown. */
    public val knownShare: Int? get() = share.takeIf { isShareKnown }

    /** Copies the attempt with [share], which is null while unknown. */
    public fun withShare(share: Int?): RunningAttempt =
        copy(share = share ?: FULL_SHARE, isShareKnown = share != null)
}

private const val FULL_SHARE = 100
