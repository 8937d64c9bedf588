package org.camphorhall.core.agent

/** Phases of an attempt as the agent tracks it. Phases from [Finished] on are terminal. */
public enum class AttemptPhase {
    Starting,
    Running,
    Stopping,
    Finished,
    Failed,
    Stopped,
    Refused,
    ;

    /** Whether the attempt may still run. */
    public val active: Boolean get() = this < Finished
}
