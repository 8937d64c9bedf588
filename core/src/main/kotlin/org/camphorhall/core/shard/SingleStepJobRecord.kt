package org.camphorhall.core.shard

import kotlinx.serialization.Serializable
import org.camphorhall.core.model.JobId
import org.camphorhall.core.model.TaskId

/** Stored record of a job with a single step. Wall clock times are milliseconds since the Unix epoch. */
@Serializable
public data class SingleStepJobRecord(
    val id: JobId,
    val spec: SingleStepJobSpec,
    val submittedMillis: Long,
    /** Start deadline for an answer-within target, end deadline for a finish-by target. */
    val dueMillis: Long,
    /** Whether [dueMillis] is the start deadline rather than the end deadline. */
    val urgent: Boolean,
    val tasks: List<TaskRecord>,
    val cancelled: Boolean = false,
    val endedMillis: Long? = null,
) {
    /** Whether every task has ended. */
    public val ended: Boolean get() = tasks.all { it.state.ended }

    /** Returns the id of the task with [index]. */
    public fun taskId(index: Int): TaskId = TaskId("${id.value}.$index")

    /** Returns the record with the task at [index] replaced. */
    public fun withTask(index: Int, task: TaskRecord): SingleStepJobRecord =
        copy(tasks = tasks.toMutableList().also { it[index] = task })
}
