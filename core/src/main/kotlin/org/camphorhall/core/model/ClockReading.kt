package org.camphorhall.core.model

/** A reading of both clocks of a process. Durations within a process use [mono]; durable records use [wallMillis]. */
public data class ClockReading(
    val mono: MonotonicInstant,
    /** Milliseconds since the Unix epoch. */
    val wallMillis: Long,
)
