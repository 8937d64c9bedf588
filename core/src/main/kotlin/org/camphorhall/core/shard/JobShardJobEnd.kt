package org.camphorhall.core.shard

import org.camphorhall.core.account.CountKey
import org.camphorhall.core.model.JobId

/** Records and counts the end of a job once all its tasks have ended. */
internal fun JobShardStep.recordJobEnd(id: JobId) {
    val job = page.jobs.getValue(id)
    if (!job.ended || job.endedMillis != null) return
    val name = job.spec.className
    val states = job.tasks.map { it.state }
    var counts = page.counts.add(outcomeCountKey(job), 1)
    if (!job.urgent && states.all { it is TaskState.Done } && now.wallMillis > job.dueMillis) {
        val waitReason = job.tasks.firstNotNullOfOrNull { it.waitReason }
        counts = counts.add(name, "delayed", waitReason?.code.orEmpty())
    }
    val ended = job.copy(endedMillis = now.wallMillis)
    change(page.copy(jobs = page.jobs.put(id, ended), counts = counts))
}

/** Returns the count that the end of [job] is added to. */
internal fun outcomeCountKey(job: SingleStepJobRecord): CountKey {
    val states = job.tasks.map { it.state }
    val failure = states.firstNotNullOfOrNull { it as? TaskState.Failed }
    return when {
        failure != null -> CountKey(job.spec.className, "failed", failure.reason.code)
        states.any { it is TaskState.Cancelled } -> CountKey(job.spec.className, "cancelled")
        else -> CountKey(job.spec.className, "completed")
    }
}
