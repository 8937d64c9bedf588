package org.camphorhall.core.model

import kotlin.time.Duration

/** How a request ended. */
public sealed interface RequestOutcome {
    /** Stable name on the wire: `completed`, `not-run`, `unknown`, `failed` or `cancelled`. */
    public val code: String

    /** The backend server responded. */
    public data object Completed : RequestOutcome {
        override val code: String get() = "completed"
    }

    /** The request is guaranteed not to have run and never to run. */
    public data class NotRun(val reason: Reason, val retryAfter: Duration = Duration.ZERO) : RequestOutcome {
        override val code: String get() = "not-run"
    }

    /** The request may have run. */
    public data class Unknown(val reason: Reason) : RequestOutcome {
        override val code: String get() = "unknown"
    }

    /** The request ran and failed. */
    public data class Failed(val reason: Reason) : RequestOutcome {
        override val code: String get() = "failed"
    }

    /** The caller cancelled the request while it may have been running. */
    public data object Cancelled : RequestOutcome {
        override val code: String get() = "cancelled"
    }
}
