package org.camphorhall.core.shard

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import org.camphorhall.core.account.Counts
import org.camphorhall.core.model.AttemptId
import org.camphorhall.core.model.JobId
import org.camphorhall.core.model.TaskId

/** Content of a shard's job page. */
public data class JobPage(
    val jobs: PersistentMap<JobId, SingleStepJobRecord> = persistentHashMapOf(),
    val counts: Counts = Counts(),
) {
    /** Returns the record of [id], or null. */
    public fun task(id: TaskId): TaskRecord? = jobs[id.job]?.tasks?.getOrNull(id.index)

    /** Tells whether [id] is the attempt that the book has assigned. */
    public fun isCurrent(id: AttemptId): Boolean = (task(id.task)?.state as? TaskState.Assigned)?.id == id

    /** Returns the book with the record of [id] replaced. */
    public fun withTask(id: TaskId, task: TaskRecord): JobPage {
        val job = jobs.getValue(id.job)
        return copy(jobs = jobs.put(job.id, job.withTask(id.index, task)))
    }
}

/** Job of the task. */
public val TaskId.job: JobId get() = JobId(value.substringBeforeLast('.'))

/** Index of the task within its job. */
public val TaskId.index: Int get() = value.substringAfterLast('.').toInt()
