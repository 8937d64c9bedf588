package org.camphorhall.core.routing

/** Load of one class on one worker, as last reported by its agent. */
public data class ClassLoad(
    val slots: Int,
    val running: Int,
    val queued: Int,
    val meanServiceMicros: Long,
    val predictedWaitMicros: Long,
)
