package org.camphorhall.core.jobs

import kotlinx.serialization.Serializable

/** State of a job as callers see it. */
@Serializable
public enum class JobPhase {
    Queued,
    Running,
    Completed,
    Failed,
    Cancelled,
    ;

    /** Whether the phase never changes again. */
    public val isFinal: Boolean get() = this == Completed || this == Failed || this == Cancelled
}
