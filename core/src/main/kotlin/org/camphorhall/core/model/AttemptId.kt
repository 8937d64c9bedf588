package org.camphorhall.core.model

import kotlinx.serialization.Serializable

/**
 * Identifies one attempt to run a task. It is also the fencing token: a worker runtime rejects an attempt whose
 * ([epoch], [attempt]) is not greater than the greatest that it has received for the task.
 */
@Serializable
public data class AttemptId(
    val task: TaskId,
    /** Epoch of the shard's owner that started the attempt. */
    val epoch: Long,
    /** Number of the attempt, from 1; it rises with each attempt of the task. */
    val attempt: Int,
) {
    /** Returns whether this token is newer than [other] of the same task. */
    public fun supersedes(other: AttemptId): Boolean = compareValuesBy(this, other, { it.epoch }, { it.attempt }) > 0
}
