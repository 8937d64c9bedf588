package org.camphorhall.core.jobs

/**
 * Derives the health state of a worker from the outcomes of its attempts and its self-reported health.
 *
 * Load pattern: a worker that fails every attempt appears idle and attracts all waiting tasks under load. A worker may
 * also report that it is unhealthy and work well, or the other way round, so that outcomes take precedence.
 */
internal class WorkerHealth {
    private val recentOutcomes = ArrayDeque<Boolean>()
    private val failedJobs = ArrayDeque<String>()
    private var quarantinedUntil = 0L

    /** Until this time the worker is on probation: it has to complete a task to become healthy. */
    private var probationUntil = 0L
    private var reportsHealthy = true

    fun state(now: Long): WorkerHealthState = when {
        quarantinedUntil > now -> WorkerHealthState.Quarantined
        probationUntil > now -> WorkerHealthState.OnProbation
        else -> WorkerHealthState.Healthy
    }

    fun recordSuccess(now: Long) {
        addOutcome(true)
        if (state(now) == WorkerHealthState.OnProbation) reset() else if (!isFailing()) probationUntil = 0
    }

    /**
     * Records that a task of [job] failed. A task that can never succeed fails on every worker, so that only one
     * failure per job counts, and none if the job [failedElsewhere].
     */
    fun recordFailure(job: String, failedElsewhere: Boolean, now: Long) {
        if (state(now) == WorkerHealthState.OnProbation) {
            quarantine(now, QUARANTINE_MILLIS)
            return
        }
        if (failedElsewhere || job in failedJobs) return
        failedJobs += job
        if (failedJobs.size > WINDOW) failedJobs.removeFirst()
        addOutcome(false)
        if (isFailing()) quarantine(now, QUARANTINE_MILLIS)
    }

    /** Records that tasks on the worker are stalled or far slower than on other workers. */
    fun recordSlow(now: Long): Unit = quarantine(now, QUARANTINE_MILLIS)

    /** Records that the worker rejected a start because it is unhealthy. */
    fun recordRejection(now: Long): Unit = quarantine(now, REJECTION_MILLIS)

    /** Records the self-reported health. A change to unhealthy puts the worker on probation. */
    fun recordSelfReport(isHealthy: Boolean, now: Long) {
        if (isHealthy == reportsHealthy) return
        reportsHealthy = isHealthy
        if (!isHealthy) probationUntil = now + PROBATION_MILLIS else if (!isFailing()) probationUntil = 0
    }

    private fun isFailing(): Boolean {
        val failed = recentOutcomes.count { !it }
        return failed >= MIN_FAILURES && failed * 2 > recentOutcomes.size
    }

    private fun quarantine(now: Long, millis: Long) {
        quarantinedUntil = maxOf(quarantinedUntil, now + millis)
        probationUntil = quarantinedUntil + PROBATION_MILLIS
    }

    private fun reset() {
        probationUntil = 0
        recentOutcomes.clear()
        failedJobs.clear()
    }

    private fun addOutcome(isSuccess: Boolean) {
        recentOutcomes += isSuccess
        if (recentOutcomes.size > WINDOW) recentOutcomes.removeFirst()
    }

    private companion object {
        /** Number of recent outcomes that are evaluated. */
        const val WINDOW = 6

        /** A single failure may be the fault of the task; failures of two jobs indicate a fault of the worker. */
        const val MIN_FAILURES = 2

        /** Time before a failing or slow worker gets another task, in milliseconds. */
        const val QUARANTINE_MILLIS = 4_000L

        /** Time after which a worker on probation that got no task becomes healthy, in milliseconds. */
        const val PROBATION_MILLIS = 8_000L

        /** Quarantine after a rejected start, in milliseconds; short because a rejection costs only a round trip. */
        const val REJECTION_MILLIS = 1_000L
    }
}
