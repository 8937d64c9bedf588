package org.camphorhall.core.model

import kotlinx.serialization.Serializable

/** Identifies one task of a job: the job id, a dot and the task's index. */
@JvmInline
@Serializable
public value class TaskId(public val value: String) {
    override fun toString(): String = value
}
