package org.camphorhall.wire

import org.camphorhall.core.model.Reason
import org.camphorhall.core.model.RequestOutcome
import kotlin.time.Duration.Companion.milliseconds

/** Reason code of the outcome; empty if the outcome has no reason. */
public val RequestOutcome.reasonCode: String
    get() = when (this) {
        is RequestOutcome.NotRun -> reason.code
        is RequestOutcome.Unknown -> reason.code
        is RequestOutcome.Failed -> reason.code
        RequestOutcome.Completed, RequestOutcome.Cancelled -> ""
    }

/** Builds an outcome from its codes. An unrecognized outcome code means that the request may have run. */
public fun outcomeOf(code: String, reason: String, retryAfterMillis: Long): RequestOutcome {
    val reasonOrDefault = reasonOf(reason) ?: Reason.WorkFailed
    return when (code) {
        "completed" -> RequestOutcome.Completed
        "not-run" -> RequestOutcome.NotRun(reasonOrDefault, retryAfterMillis.milliseconds)
        "failed" -> RequestOutcome.Failed(reasonOrDefault)
        "cancelled" -> RequestOutcome.Cancelled
        else -> RequestOutcome.Unknown(reasonOrDefault)
    }
}

/** Returns the reason with [code], or null if the code is empty or unrecognized. */
public fun reasonOf(code: String): Reason? = Reason.entries.firstOrNull { it.code == code }
