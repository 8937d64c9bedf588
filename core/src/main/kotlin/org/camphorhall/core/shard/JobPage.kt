package org.camphorhall.core.shard

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import org.camphorhall.core.account.Counts
import org.camphorhall.core.model.AttemptId
import org.camphorhall.core.model.JobId
import org.camphorhall.core.model.TaskId

/** Content of the job page of a shard. */
public data class JobPage(
    val jobs: PersistentMap<JobId, SingleStepJobRecord> = persistentHashMapOf(),
    val counts: Counts = Counts(),
) {
    /** Returns the record of task [id], or null if the page has no such task. */
    public fun task(id: TaskId): TaskRecord? = jobs[id.job]?.tasks?.getOrNull(id.index)

    /** Whether [id] is the attempt currently assigned to its task. */
    public fun isCurrent(id: AttemptId): Boolean = (task(id.task)?.state as? TaskState.Assigned)?.id == id

    /** Returns the page with the record of task [id] replaced. */
    public fun withTask(id: TaskId, task: TaskRecord): JobPage {
        val job = jobs.getValue(id.job)
        return copy(jobs = jobs.put(job.id, job.withTask(id.index, task)))
    }
}

/** Id of the job that the task belongs to. */
public val TaskId.job: JobId get() = JobId(value.substringBeforeLast('.'))

/** Index of the task within its job. */
public val TaskId.index: Int get() = value.substringAfterLast('.').toInt()
