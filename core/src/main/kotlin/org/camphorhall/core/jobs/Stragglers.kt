package org.camphorhall.core.jobs

/**
 * Detects workers whose tasks make no progress or run several times slower than sibling tasks on other workers. A
 * single slow task may just have more work; slow tasks of several jobs on one worker indicate that the worker is slow.
 * A task without progress for far longer than its estimate explains is detected without comparing it to siblings.
 *
 * Durations are measured between worker reports rather than up to the current time: reports that are late because an
 * agent is starting or the owner is overloaded say nothing about the worker.
 */
internal object Stragglers {
    /**
     * Tasks to move off [worker]; empty unless the worker is at fault. [stepOf] returns the step of a task, and
     * [restoreMillis] is the longest time to start a task from a checkpoint.
     */
    fun find(
        worker: TrackedWorker,
        stepOf: (TrackedTask) -> TrackedStep?,
        now: Long,
        restoreMillis: Long = JobShardSettings().restoreMillis,
    ): List<TrackedTask> {
        val eligible = worker.assigned.values.filter(::isEligible)
        val slow = eligible.filter { isSlow(it, stepOf(it), restoreMillis) }
        val isAtFault = slow.map { it.ref.job }.distinct().size >= MIN_SLOW_JOBS && slow.size * 2 > eligible.size
        if (isAtFault) return slow
        val stalled = eligible.filter { isStalled(it, restoreMillis) }
        val minStalled = if (worker.health.state(now) == WorkerHealthState.Healthy) MIN_STALLED else 1
        return if (stalled.size >= minStalled && stalled.size * 2 > eligible.size) stalled else emptyList()
    }

    /** Excludes gang members, which wait for each other, and backfill tasks, whose speed depends on other tasks. */
    private fun isStalled(t: TrackedTask, restoreMillis: Long): Boolean = !t.spec.gang && !t.spec.backfill &&
        t.lastReportedAt - t.lastProgressAt >=
        restoreMillis + STALLED_MILLIS + t.spec.estimateMillis * STALLED_EXPECTED_PERCENT / FULL_PERCENT

    private fun isEligible(t: TrackedTask): Boolean = t.startCommand != null && t.stopCause == null &&
        !t.spec.longRunning && t.firstReportedAt != null && t.lastReportedAt - t.assignedAt >= MIN_AGE_MILLIS &&
        !t.wasThrottled

    private fun isSlow(t: TrackedTask, step: TrackedStep?, restoreMillis: Long): Boolean {
        val siblings = step?.tasks.orEmpty()
            .filter { it !== t && it.worker != t.worker }
            .mapNotNull { it.duration(restoreMillis) }
        if (siblings.isEmpty()) return false
        val median = siblings.sorted()[siblings.size / 2]
        return t.projectedMillis(restoreMillis) > median * SLOW_FACTOR
    }

    private fun TrackedTask.duration(restoreMillis: Long): Long? = when {
        done -> completedRunMillis.takeIf { it > 0 }
        worker != null && percent >= MIN_PERCENT && percent > initialPercent -> projectedMillis(restoreMillis)
        else -> null
    }

    /**
     * Run time of an attempt, extrapolated from its progress between reports. Without progress it is a lower bound,
     * which assumes 1 % of progress in the time after the start from a checkpoint.
     */
    private fun TrackedTask.projectedMillis(restoreMillis: Long): Long {
        val since = firstReportedAt ?: return 0
        val progress = percent - initialPercent
        return if (progress > 0) {
            (lastReportedAt - since) * FULL_PERCENT / progress
        } else {
            (lastReportedAt - since - restoreMillis) * FULL_PERCENT
        }
    }

    private const val FULL_PERCENT = 100L

    /** Minimum number of jobs with slow tasks to attribute the fault to the worker. */
    private const val MIN_SLOW_JOBS = 2

    /** Minimum number of stalled tasks to attribute the fault to a healthy worker; one suffices for other workers. */
    private const val MIN_STALLED = 2

    /**
     * A task is stalled if its progress did not change for the longest start, [STALLED_MILLIS] and the estimated time
     * of [STALLED_EXPECTED_PERCENT] of its work: estimates can be several times too low.
     */
    private const val STALLED_MILLIS = 1_000L
    private const val STALLED_EXPECTED_PERCENT = 20

    /** Younger attempts, in milliseconds, have too little progress to be compared. */
    private const val MIN_AGE_MILLIS = 1_000L

    /** Minimum progress of a sibling, in percent, to extrapolate its run time. */
    private const val MIN_PERCENT = 20

    /** A task is slow above this multiple of its siblings' median; normal run times in a step differ by less. */
    private const val SLOW_FACTOR = 3
}
