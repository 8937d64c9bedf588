package org.camphorhall.cli

/** Reason why a call to an entry got no response. */
internal sealed interface CallFailure {
    /** No entry received the call, or the call was read-only. [causes] has one line per entry. */
    data class Unreachable(val causes: List<String>) : CallFailure

    /** The connection to [url] broke or timed out after the call may have been sent, so it may have taken effect. */
    data class ConnectionLost(val url: String, val cause: String) : CallFailure
}
