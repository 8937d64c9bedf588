package org.camphorhall.cli

import org.camphorhall.process.ExitCode

/** Exit statuses of `camphorhall`. Scripts rely on the numbers; 0 to 4 are those of [ExitCode]. */
internal enum class CliExitCode(val status: Int, val meaning: String) {
    Ok(ExitCode.Ok.status, "ok"),
    RuntimeFailure(ExitCode.RuntimeFailure.status, "other failure"),
    Usage(ExitCode.Usage.status, "usage error"),
    InvalidFile(ExitCode.InvalidSettings.status, "invalid file"),
    Unreachable(ExitCode.CouldNotStart.status, "no entry reachable"),
    NotRun(5, "refused, did not run"),
    Unknown(6, "may have run"),
    Failed(7, "ran and failed"),
    Cancelled(8, "cancelled"),
    Conflict(9, "conflict with another change or with a running request of the same key"),
    NotFound(10, "not found"),
    Different(11, "config diff found differences"),
    ;

    companion object {
        /** Returns the exit code for a response with HTTP [status] and the [outcome] of its problem details. */
        fun of(status: Int, outcome: String?): CliExitCode = when {
            status == 412 -> Conflict
            outcome == "unknown" -> Unknown
            outcome == "failed" -> Failed
            outcome == "cancelled" -> Cancelled
            status == 409 -> Conflict
            outcome == "not-run" -> NotRun
            status == 404 -> NotFound
            else -> RuntimeFailure
        }
    }
}
