package org.camphorhall.core.model

import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

/** A point on one process's monotonic clock. [nanos] must not be compared with the clock of another instance. */
@JvmInline
public value class MonotonicInstant(public val nanos: Long) : Comparable<MonotonicInstant> {
    public operator fun plus(d: Duration): MonotonicInstant = MonotonicInstant(nanos + d.inWholeNanoseconds)

    public operator fun minus(d: Duration): MonotonicInstant = MonotonicInstant(nanos - d.inWholeNanoseconds)

    public operator fun minus(other: MonotonicInstant): Duration = (nanos - other.nanos).nanoseconds

    override fun compareTo(other: MonotonicInstant): Int = nanos.compareTo(other.nanos)

    override fun toString(): String = "${nanos}ns"
}
