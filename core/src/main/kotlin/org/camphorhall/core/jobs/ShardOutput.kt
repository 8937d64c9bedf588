package org.camphorhall.core.jobs

/** What a [JobShard] wants done after an event. */
public sealed interface ShardOutput {
    /** Sends [command] to the agent on connection [session]. */
    public data class Send(val session: Long, val command: WorkerCommand) : ShardOutput

    /** Acknowledges all ends of a worker up to [number]. */
    public data class AcknowledgeEnds(val session: Long, val number: Long) : ShardOutput

    /** A decision for the log: what happened to [task] or [job], and the inputs that decided it. */
    public data class LogEvent(
        val event: String,
        val job: String? = null,
        val task: TaskRef? = null,
        val attempt: Int? = null,
        val worker: String? = null,
        val detail: String? = null,
        /** Time from the assignment of the attempt to its end, in milliseconds. */
        val ranMillis: Long? = null,
    ) : ShardOutput
}
