package org.camphorhall.scheduler.agent

import org.camphorhall.core.jobs.BackfillThrottle
import org.camphorhall.core.jobs.Interference
import org.camphorhall.core.jobs.RunningAttempt
import org.camphorhall.core.jobs.TaskProfile
import org.camphorhall.core.jobs.TaskRef
import org.camphorhall.core.jobs.WorkerCommand

/** What an agent knows of the tasks on its worker, and the shares that its backfill tasks get. Not thread-safe. */
internal class BackfillController {
    private val throttle = BackfillThrottle()
    private val profiles = HashMap<TaskRef, TaskProfile>()

    /** Attempts whose start was answered, with the time of the answer. */
    private val started = HashMap<TaskRef, Started>()
    private val interferenceWeights = HashMap<Pair<String, String>, Double>()

    private class Started(val attempt: Int, val respondedAt: Long)

    /** Mean share of the backfill tasks in percent. */
    val meanSharePercent: Int get() = throttle.meanSharePercent

    /** Least headroom of a serving task; null without serving tasks. */
    val minHeadroom: Double? get() = throttle.minHeadroom

    /** Takes traits of tasks that an earlier agent started. */
    fun addProfiles(added: Map<TaskRef, TaskProfile>): Unit = added.forEach(profiles::putIfAbsent)

    /** Takes what the owner has learned of pairs of images. */
    fun updateInterference(changes: List<Interference>) {
        for (c in changes) interferenceWeights[c.serving to c.backfill] = c.weight
    }

    /** Notes that [command] is about to be carried out. */
    fun recordStarting(command: WorkerCommand.Start) {
        profiles[command.task] = command.profile
    }

    /** Notes that the start [command] was answered at [now]. */
    fun recordStartResponse(command: WorkerCommand.Start, now: Long) {
        started[command.task] = Started(command.attempt, now)
    }

    /**
     * Forgets tasks that have ended: those that are neither [starting] nor [running]. The list was asked for at [sentAt]
     * and may lack tasks whose start was answered since.
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

    /** Shares to change on a worker with [cpuMillis]; tasks just started are not in the list [running] yet. */
    fun computeShares(running: List<RunningAttempt>, cpuMillis: Long, now: Long): List<BackfillThrottle.Share> {
        val listed = running.mapTo(HashSet()) { it.task }
        val unlisted = started.filterKeys { it !in listed && it in profiles }
            .map { (t, s) -> RunningAttempt(t, s.attempt) }
        return throttle.decide(BackfillThrottle.Inputs(running + unlisted, profiles, cpuMillis, ::interferenceWeight), now)
    }

    /** Notes that the worker took [share]. */
    fun recordApplied(share: BackfillThrottle.Share): Unit = throttle.recordApplied(share)

    /** Adds the shares to the rows of backfill tasks. */
    fun withShares(running: List<RunningAttempt>): List<RunningAttempt> = running.map { row ->
        if (profiles[row.task]?.backfill == true) row.copy(share = throttle.shareOf(row.task, row.attempt)) else row
    }

    /** Latencies of serving tasks against their targets, for logs. */
    fun servingMetrics(running: List<RunningAttempt>): List<String> =
        running.mapNotNull { row -> profiles[row.task]?.latencyTargetMillis?.let { "${row.load}/$it" } }

    /** Processors and shares of backfill tasks, for logs. */
    fun backfillMetrics(running: List<RunningAttempt>): List<String> = running.mapNotNull { row ->
        profiles[row.task]?.takeIf { it.backfill }
            ?.let { "${row.load}/${it.cpuMillis} at ${throttle.shareOf(row.task, row.attempt)} %" }
    }

    private fun interferenceWeight(serving: String, backfill: String): Double =
        interferenceWeights[serving to backfill] ?: Interference.DEFAULT_WEIGHT
}
