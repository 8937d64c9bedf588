package org.camphorhall.core.shard

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.camphorhall.core.model.Reason
import org.camphorhall.core.model.WorkerId

/** Durable record of one task of a job. */
@Serializable
public data class TaskRecord(
    val state: TaskState = TaskState.Queued,
    /** Number of the last attempt. */
    val attempts: Int = 0,
    /** Checkpoint that the next attempt resumes from. */
    val checkpoint: String? = null,
    val progressMillis: Long = 0,
    val evictions: Int = 0,
    val failures: Int = 0,
    /** Wall time before which the task is not placed. */
    val notBeforeMillis: Long = 0,
    /** Workers on which the task failed; they are avoided while others have room. */
    val failedOn: List<WorkerId> = emptyList(),
    /** Refusals since the last attempt that started; each doubles the wait before the next placement. */
    @SerialName("refusals")
    val rejections: Int = 0,
    /** Worker that refused last; it is avoided while others have room. */
    @SerialName("refusedBy")
    val rejectedBy: WorkerId? = null,
    /** Last reason for which the task had to wait. */
    @SerialName("delay")
    val waitReason: Reason? = null,
)
