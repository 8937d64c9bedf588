package org.camphorhall.core.shard

import org.camphorhall.core.model.AttemptId
import org.camphorhall.core.model.JobId
import org.camphorhall.core.model.MonotonicInstant
import org.camphorhall.core.model.TaskId

/** What happens once a change of the job page is durable. */
public sealed interface ShardEffect {
    /** Acknowledges a submission. */
    public data class AcknowledgeSubmission(
        val correlationId: Long,
        val job: JobId,
        val requestedAt: MonotonicInstant,
    ) : ShardEffect

    /** Acknowledges that a cancellation is recorded. */
    public data class AcknowledgeCancellation(val correlationId: Long, val requestedAt: MonotonicInstant) : ShardEffect

    /** Sends the start of an attempt. */
    public data class SendStart(val id: AttemptId) : ShardEffect

    /** Sends the stop of the attempt of [task], if it still runs. */
    public data class SendStop(val task: TaskId) : ShardEffect
}
