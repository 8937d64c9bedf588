package org.camphorhall.scheduler.agent

import org.camphorhall.core.jobs.BackfillThrottle
import org.camphorhall.core.jobs.Interference
import org.camphorhall.core.jobs.RunningAttempt
import org.camphorhall.core.jobs.TaskProfile
import org.camphorhall.core.jobs.TaskRef
import org.camphorhall.core.jobs.WorkerCommand

/** What an agent knows of the tasks on its worker, and the shares that its backfill tasks get. Not thread-safe. */
internal class BackfillBalance {
    private val throttle = BackfillThrottle()
    private val traits = HashMap<TaskRef, TaskProfile>()

    /** Attempts whose start was answered, with the time of the answer. */
    private val started = HashMap<TaskRef, Started>()
    private val weights = HashMap<Pair<String, String>, Double>()

    private class Started(val attempt: Int, val at: Long)

    /** Mean share of the backfill tasks in percent. */
    val percent: Int get() = throttle.meanSharePercent

    /** Least headroom of a serving task; null without serving tasks. */
    val headroom: Double? get() = throttle.minHeadroom

    /** Takes traits of tasks that an earlier agent started. */
    fun learn(known: Map<TaskRef, TaskProfile>): Unit = known.forEach(traits::putIfAbsent)

    /** Takes what the owner has learned of pairs of images. */
    fun learnDisturbances(known: List<Interference>) {
        for (d in known) weights[d.serving to d.backfill] = d.weight
    }

    /** Notes that [order] is about to be carried out. */
    fun noteStarting(order: WorkerCommand.Start) {
        traits[order.task] = order.profile
    }

    /** Notes that the start [order] was answered at [now]. */
    fun noteAnswered(order: WorkerCommand.Start, now: Long) {
        started[order.task] = Started(order.attempt, now)
    }

    /**
     * Forgets tasks that have ended: those that are neither [starting] nor [running]. The list was asked for at [sentAt]
     * and may lack tasks whose start was answered since.
     */
    fun retain(running: List<RunningAttempt>, starting: Set<TaskRef>, sentAt: Long) {
        val listed = running.mapTo(HashSet()) { it.task }
        traits.keys.retainAll { it in starting || it in listed || (started[it]?.at ?: 0) >= sentAt }
        started.keys.retainAll(traits.keys)
    }

    /** Whether backfill tasks run beside serving tasks. */
    fun isShared(running: List<RunningAttempt>): Boolean {
        val known = running.mapNotNull { traits[it.task] }
        return known.any { it.backfill } && known.any { it.latencyTargetMillis != null }
    }

    /** Shares to change on a worker with [cpuMillis]; tasks just started are not in the list [running] yet. */
    fun decide(running: List<RunningAttempt>, cpuMillis: Long, now: Long): List<BackfillThrottle.Share> {
        val listed = running.mapTo(HashSet()) { it.task }
        val unlisted = started.filterKeys { it !in listed && it in traits }
            .map { (t, s) -> RunningAttempt(t, s.attempt) }
        return throttle.decide(BackfillThrottle.Inputs(running + unlisted, traits, cpuMillis, ::weightOf), now)
    }

    /** Notes that the worker took [share]. */
    fun applied(share: BackfillThrottle.Share): Unit = throttle.recordApplied(share)

    /** Adds the shares to the rows of backfill tasks. */
    fun withShares(running: List<RunningAttempt>): List<RunningAttempt> = running.map { row ->
        if (traits[row.task]?.backfill == true) row.copy(share = throttle.shareOf(row.task, row.attempt)) else row
    }

    /** Latencies of serving tasks against their targets, for logs. */
    fun servingFigures(running: List<RunningAttempt>): List<String> =
        running.mapNotNull { row -> traits[row.task]?.latencyTargetMillis?.let { "${row.load}/$it" } }

    /** Processors and shares of backfill tasks, for logs. */
    fun backfillFigures(running: List<RunningAttempt>): List<String> = running.mapNotNull { row ->
        traits[row.task]?.takeIf { it.backfill }
            ?.let { "${row.load}/${it.cpuMillis} at ${throttle.shareOf(row.task, row.attempt)} %" }
    }

    private fun weightOf(serving: String, backfill: String): Double =
        weights[serving to backfill] ?: Interference.DEFAULT_WEIGHT
}
