package org.camphorhall.scheduler.agent

import org.camphorhall.core.jobs.BackfillThrottle
import org.camphorhall.core.jobs.Interference
import org.camphorhall.core.jobs.RunningAttempt
import org.camphorhall.core.jobs.TaskProfile
import org.camphorhall.core.jobs.TaskRef
import org.camphorhall.core.jobs.WorkerCommand

/** Tracks the tasks of a worker and controls the shares of its backfill tasks. Not thread-safe. */
internal class BackfillController {
    private val throttle = BackfillThrottle()
    private val profiles = HashMap<TaskRef, TaskProfile>()

    /** Attempts with a response to their start request, and the time of the response. */
    private val started = HashMap<TaskRef, Started>()
    private val interferenceWeights = HashMap<Pair<String, String>, Double>()

    private class Started(val attempt: Int, val respondedAt: Long)

    /** Mean share of the backfill tasks in percent. */
    val meanSharePercent: Int get() = throttle.meanSharePercent

    /** Smallest headroom of a serving task; null without serving tasks. */
    val minHeadroom: Double? get() = throttle.minHeadroom

    /** Adds profiles of tasks that an earlier agent started; profiles already tracked stay. */
    fun addProfiles(added: Map<TaskRef, TaskProfile>): Unit = added.forEach(profiles::putIfAbsent)

    /** Applies interference weights of image pairs from the owner. */
    fun updateInterference(changes: List<Interference>) {
        for (c in changes) interferenceWeights[c.serving to c.backfill] = c.weight
    }

    /** Records that the start request of [command] is about to be sent. */
    fun recordStarting(command: WorkerCommand.Start) {
        profiles[command.task] = command.profile
    }

    /** Records that the response to the start request of [command] arrived at [now]. */
    fun recordStartResponse(command: WorkerCommand.Start, now: Long) {
        started[command.task] = Started(command.attempt, now)
        throttle.recordStarted(command.task, command.attempt)
    }

    /**
     * Removes tasks that are neither [starting] nor [running]. The request for the list was sent at [sentAt], so the
     * list may lack tasks whose start response arrived later.
     */
    fun removeEnded(running: List<RunningAttempt>, starting: Set<TaskRef>, sentAt: Long) {
        val listed = running.mapTo(HashSet()) { it.task }
        profiles.keys.retainAll { it in starting || it in listed || (started[it]?.respondedAt ?: 0) >= sentAt }
        started.keys.retainAll(profiles.keys)
    }

    /** Whether backfill tasks run beside serving tasks. */
    fun isColocated(running: List<RunningAttempt>): Boolean {
        val tracked = running.mapNotNull { profiles[it.task] }
        return tracked.any { it.backfill } && tracked.any { it.latencyTargetMillis != null }
    }

    /** Share changes for a worker with [cpuMillis], including started tasks that [running] does not list yet. */
    fun computeShares(running: List<RunningAttempt>, cpuMillis: Long, now: Long): List<BackfillThrottle.Share> {
        val listed = running.mapTo(HashSet()) { it.task }
        val unlisted = started.filterKeys { it !in listed && it in profiles }
            .map { (t, s) -> RunningAttempt(t, s.attempt) }
        return throttle.decide(
            BackfillThrottle.Inputs(running + unlisted, profiles, cpuMillis, ::interferenceWeight),
            now,
        )
    }

    /** Records that the worker applied [share]. */
    fun recordApplied(share: BackfillThrottle.Share): Unit = throttle.recordApplied(share)

    /** Records that the call to set [share] got no response until [now]. */
    fun recordLost(share: BackfillThrottle.Share, now: Long): Unit = throttle.recordLost(share, now)

    /** Adds the current shares to the backfill tasks of [running], and to tasks whose profiles are not known yet. */
    fun withShares(running: List<RunningAttempt>): List<RunningAttempt> = running.map { row ->
        if (profiles[row.task]?.backfill != false) row.withShare(throttle.shareOf(row.task, row.attempt)) else row
    }

    /** Latency and target of each serving task in milliseconds, for logs. */
    fun servingMetrics(running: List<RunningAttempt>): List<String> =
        running.mapNotNull { row -> profiles[row.task]?.latencyTargetMillis?.let { "${row.load}/$it" } }

    /** CPU usage and demand, in thousandths of a core, and share of each backfill task, for logs. */
    fun backfillMetrics(running: List<RunningAttempt>): List<String> = running.mapNotNull { row ->
        profiles[row.task]?.takeIf { it.backfill }
            ?.let { "${row.load}/${it.cpuMillis} at ${throttle.shareOf(row.task, row.attempt) ?: "?"} %" }
    }

    private fun interferenceWeight(serving: String, backfill: String): Double =
        interferenceWeights[serving to backfill] ?: Interference.DEFAULT_WEIGHT
}
