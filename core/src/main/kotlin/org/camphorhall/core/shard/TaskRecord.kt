package org.camphorhall.core.shard

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.camphorhall.core.model.Reason
import org.camphorhall.core.model.WorkerId

/** Stored record of one task of a job. */
@Serializable
public data class TaskRecord(
    val state: TaskState = TaskState.Queued,
    /** Number of the latest attempt; 0 before the first one. */
    val attempts: Int = 0,
    /** Checkpoint that the next attempt resumes from. */
    val checkpoint: String? = null,
    val progressMillis: Long = 0,
    val evictions: Int = 0,
    val failures: Int = 0,
    /** Wall clock time before which the task is not placed. */
    val notBeforeMillis: Long = 0,
    /** Workers on which the task failed; avoided while other workers have free capacity. */
    val failedOn: List<WorkerId> = emptyList(),
    /** Rejections since the last started attempt; each doubles the delay before the next placement, up to a limit. */
    @SerialName("refusals")
    val rejections: Int = 0,
    /** Worker that rejected the task last; avoided while other workers have free capacity. */
    @SerialName("refusedBy")
    val rejectedBy: WorkerId? = null,
    /** Latest reason why the task had to wait. */
    @SerialName("delay")
    val waitReason: Reason? = null,
)
