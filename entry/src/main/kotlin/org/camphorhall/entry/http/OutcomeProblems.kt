package org.camphorhall.entry.http

import io.ktor.http.HttpStatusCode
import org.camphorhall.core.model.Reason
import org.camphorhall.core.model.RequestOutcome
import org.camphorhall.process.Problem

/** Builds the error response for an outcome other than `completed`. */
internal fun problemOf(outcome: RequestOutcome): Problem = when (outcome) {
    RequestOutcome.Completed -> error("a completed request has no problem")
    is RequestOutcome.NotRun ->
        problem(statusOfNotRun(outcome.reason), "The request was not run.", outcome, outcome.reason)
    is RequestOutcome.Unknown -> {
        val keyConflict = outcome.reason == Reason.KeyInProgress || outcome.reason == Reason.KeyOutcomeUnknown
        val status = if (keyConflict) HttpStatusCode.Conflict else HttpStatusCode.GatewayTimeout
        problem(status, "The request may have run.", outcome, outcome.reason)
    }
    is RequestOutcome.Failed ->
        problem(HttpStatusCode.BadGateway, "The backend server reported a failure.", outcome, outcome.reason)
    RequestOutcome.Cancelled ->
        problem(
            HttpStatusCode(CLIENT_CLOSED_REQUEST, "Client Closed Request"),
            "The request was cancelled.",
            outcome,
            null,
        )
}

private fun problem(status: HttpStatusCode, title: String, outcome: RequestOutcome, reason: Reason?) =
    Problem(status = status.value, title = title, outcome = outcome.code, reason = reason?.code)

/** Returns the HTTP status of a rejection with [reason]. */
internal fun statusOfNotRun(reason: Reason): HttpStatusCode = when (reason) {
    Reason.UnknownClass -> HttpStatusCode.NotFound
    Reason.NeverFits -> HttpStatusCode.UnprocessableEntity
    Reason.TargetUnreachable, Reason.QueueFull, Reason.QuotaExceeded, Reason.EntryOverloaded ->
        HttpStatusCode.TooManyRequests
    Reason.DeadlinePassed -> HttpStatusCode.GatewayTimeout
    else -> HttpStatusCode.ServiceUnavailable
}

private const val CLIENT_CLOSED_REQUEST = 499
