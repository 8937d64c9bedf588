package org.camphorhall.scheduler.agent

/** Outcome of a stop, or of one try of it, which logs [event]. */
internal enum class StopOutcome(val event: String) {
    /** The worker has responded to the stop. */
    Completed("stop completed"),

    /** One try failed. */
    Failed("stop failed"),

    /** No further try follows: all have failed, or the connection to the owner has ended. */
    GivenUp("stop given up"),
}
