package org.camphorhall.core.shard

import org.camphorhall.core.model.AttemptId
import org.camphorhall.core.model.JobId
import org.camphorhall.core.model.MonotonicInstant
import org.camphorhall.core.model.TaskId

/** Effect that is released once its change of the job page is durable. */
public sealed interface ShardEffect {
    public data class AcknowledgeSubmission(
        val correlationId: Long,
        val job: JobId,
        val requestedAt: MonotonicInstant,
    ) : ShardEffect

    /** Confirms a cancellation. */
    public data class AcknowledgeCancellation(val correlationId: Long, val requestedAt: MonotonicInstant) : ShardEffect

    public data class SendStart(val id: AttemptId) : ShardEffect

    /** Stops the attempt of [task] if it is still assigned. */
    public data class SendStop(val task: TaskId) : ShardEffect
}
