package org.camphorhall.cli

/** Why a call has no answer. */
internal sealed interface CallFailure {
    /** No entry received the call, or it could change nothing. [causes] holds one line per entry. */
    data class Unreachable(val causes: List<String>) : CallFailure

    /** An entry may have received the call and acted on it. */
    data class ConnectionLost(val url: String, val cause: String) : CallFailure
}
