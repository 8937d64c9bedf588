package org.camphorhall.core.jobs

/** An action that a [JobShard] requests. */
public sealed interface ShardOutput {
    /** Sends [command] to the agent on connection [session]. */
    public data class Send(val session: Long, val command: WorkerCommand) : ShardOutput

    /** Acknowledges all ends of a worker up to [number]. */
    public data class AcknowledgeEnds(val session: Long, val number: Long) : ShardOutput

    /** A log event: what happened to [task] or [job], and the inputs of the decision. */
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
