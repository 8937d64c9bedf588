package org.camphorhall.core.jobs

/**
 * Judges a worker by how the attempts on it end, and by what it says of itself.
 *
 * Load pattern: a worker that fails all that it starts looks idle, and draws all waiting tasks under load. A worker may
 * also call itself unhealthy and work well, or the other way round, so that ends count for more than its own word.
 */
internal class WorkerHealth {
    private val recent = ArrayDeque<Boolean>()
    private val failedJobs = ArrayDeque<String>()
    private var quarantinedUntil = 0L

    /** Until then the worker has to finish a task before it is trusted again. */
    private var probationUntil = 0L
    private var reportsHealthy = true

    /** How far the worker is trusted at [now]. */
    fun state(now: Long): WorkerHealthState = when {
        quarantinedUntil > now -> WorkerHealthState.Quarantined
        probationUntil > now -> WorkerHealthState.OnProbation
        else -> WorkerHealthState.Healthy
    }

    fun recordSuccess(now: Long) {
        add(true)
        if (state(now) == WorkerHealthState.OnProbation) reset() else if (!isFailing()) probationUntil = 0
    }

    /**
     * Notes that a task of [job] failed. A task that can never succeed fails everywhere, so that only one failure of
     * each job counts, and none if the job [failedElsewhere].
     */
    fun recordFailure(job: String, failedElsewhere: Boolean, now: Long) {
        if (state(now) == WorkerHealthState.OnProbation) {
            quarantine(now, QUARANTINE_MILLIS)
            return
        }
        if (failedElsewhere || job in failedJobs) return
        failedJobs += job
        if (failedJobs.size > WINDOW) failedJobs.removeFirst()
        add(false)
        if (isFailing()) quarantine(now, QUARANTINE_MILLIS)
    }

    /** Notes that the worker runs tasks far slower than others, or not at all. */
    fun recordSlow(now: Long): Unit = quarantine(now, QUARANTINE_MILLIS)

    /** Notes that the worker turned a start away because it is unhealthy. */
    fun recordRejection(now: Long): Unit = quarantine(now, REJECTION_MILLIS)

    /** Takes the worker's word on its own health. A change for the worse puts it on probation. */
    fun recordSelfReport(isHealthy: Boolean, now: Long) {
        if (isHealthy == reportsHealthy) return
        reportsHealthy = isHealthy
        if (!isHealthy) probationUntil = now + PROBATION_MILLIS else if (!isFailing()) probationUntil = 0
    }

    private fun isFailing(): Boolean {
        val failed = recent.count { !it }
        return failed >= MIN_FAILURES && failed * 2 > recent.size
    }

    private fun quarantine(now: Long, millis: Long) {
        quarantinedUntil = maxOf(quarantinedUntil, now + millis)
        probationUntil = quarantinedUntil + PROBATION_MILLIS
    }

    private fun reset() {
        probationUntil = 0
        recent.clear()
        failedJobs.clear()
    }

    private fun add(ok: Boolean) {
        recent += ok
        if (recent.size > WINDOW) recent.removeFirst()
    }

    private companion object {
        /** Ends that are looked at. */
        const val WINDOW = 6

        /** One failure can be the task's own fault; failures of two jobs point at the worker. */
        const val MIN_FAILURES = 2

        /** Pause before a worker that fails is tried again, in milliseconds. */
        const val QUARANTINE_MILLIS = 4_000L

        /** A worker that got no task to prove itself is trusted again after this time, in milliseconds. */
        const val PROBATION_MILLIS = 8_000L

        /** The pause of a worker that turned a start away, which costs no more than a round trip. */
        const val REJECTION_MILLIS = 1_000L
    }
}
