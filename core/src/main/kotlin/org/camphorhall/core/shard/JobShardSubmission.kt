package org.camphorhall.core.shard

import org.camphorhall.core.model.Reason
import org.camphorhall.core.model.Target

internal fun JobShardStep.submit(e: JobShardEvent.Submit) {
    val existing = page.jobs[e.id]
    val target = config.workClass(e.spec.className)?.target
    val reason = when {
        !state.ready -> Reason.StoreUnavailable
        existing != null -> null
        target == null -> Reason.UnknownClass
        state.commit.failingSince != null -> Reason.StoreUnavailable
        view.neverFits(e.spec.resources) -> Reason.NeverFits
        exceedsQuota(e.spec) -> Reason.QuotaExceeded
        page.jobs.size >= settings.maxJobs -> Reason.JobStoreFull
        else -> null
    }
    if (reason != null) {
        actions += JobShardAction.Rejected(e.correlationId, reason)
        if (state.ready && target != null) {
            change(page.copy(counts = page.counts.add(e.spec.className, "refused", reason.code)))
        }
        return
    }
    if (existing != null) {
        repeatSubmission(e)
        return
    }
    val urgent = target is Target.AnswerWithin
    val targetMillis = when (target) {
        is Target.AnswerWithin -> target.millis
        is Target.FinishBy -> target.millis
        null -> return
    }
    val job = SingleStepJobRecord(
        e.id,
        e.spec,
        submittedMillis = now.wallMillis,
        dueMillis = now.wallMillis + targetMillis,
        urgent = urgent,
        tasks = List(e.spec.tasks) { TaskRecord() },
    )
    state = state.copy(queued = state.queued.addAll(job.tasks.indices.map { job.taskId(it) }))
    val counts = page.counts.add(e.spec.className, "accepted")
    change(page.copy(jobs = page.jobs.put(e.id, job), counts = counts), submissionEffect(e))
}

/** Accepts a repeated submission of a job once the first submission is durable. */
private fun JobShardStep.repeatSubmission(e: JobShardEvent.Submit) {
    if (e.id in state.commit.durable.jobs) {
        actions += JobShardAction.Accepted(e.correlationId, e.id)
    } else {
        change(page, submissionEffect(e))
    }
}

private fun JobShardStep.submissionEffect(e: JobShardEvent.Submit) =
    ShardEffect.AcknowledgeSubmission(e.correlationId, e.id, now.mono)

/** Whether a single task exceeds the tenant's quota. */
private fun JobShardStep.exceedsQuota(spec: SingleStepJobSpec): Boolean {
    val quota = config.quota(spec.tenant) ?: return false
    return !(spec.resources fitsIn quota.batch)
}
