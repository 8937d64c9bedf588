package org.camphorhall.core.jobs.replay

import org.camphorhall.core.jobs.AttemptEnd
import org.camphorhall.core.jobs.BackfillThrottle
import org.camphorhall.core.jobs.EndCause
import org.camphorhall.core.jobs.RunningAttempt
import org.camphorhall.core.jobs.TaskRef
import org.camphorhall.core.jobs.WorkerCommand
import org.camphorhall.core.jobs.WorkerKey
import org.camphorhall.core.jobs.WorkerProfile
import org.camphorhall.core.jobs.WorkerReport
import org.camphorhall.core.model.Resources

/** A worker and its agent. Backfill tasks share the CPU that other tasks leave idle; measurements cover 500 ms. */
internal class ReplayWorker(
    index: Int,
    private val cpu: Long,
    private val cluster: ReplayCluster,
    private val weight: (serving: String, backfill: String) -> Double,
) {
    val session = index + 1L
    private val profile = WorkerProfile(
        WorkerKey("instance-$index", "worker-$index", 1),
        "service",
        "zone",
        Resources(cpu, 1_000_000),
        listOf("a", "rack-${index / 3}"),
    )
    private val throttle = BackfillThrottle()
    private val runs = LinkedHashMap<TaskRef, Run>()
    private val ended = mutableListOf<AttemptEnd>()
    private var lastEnd = 0L
    private var lastCompletedCommand = 0L
    private var reportAt = index * 40L
    private var hasUnreportedChange = false
    var stops = 0
        private set

    private class Run(val command: WorkerCommand.Start, val doneBefore: Double, val startsAt: Long) {
        val profile = command.profile
        var done = doneBefore
        var percent = FULL
        var over = 0L
        val window = ArrayDeque<Double>()
        var measurement = 0L

        fun recordSample(sample: Double) {
            window += sample
            if (window.size > WINDOW) window.removeFirst()
        }
    }

    fun start(command: WorkerCommand.Start, now: Long) {
        lastCompletedCommand = maxOf(lastCompletedCommand, command.number)
        val saved = command.checkpoint.toDoubleOrNull() ?: 0.0
        runs[command.task] = Run(command, saved, now + if (saved > 0) RESTORE_MILLIS else 0)
        throttle.recordStarted(command.task, command.attempt)
        hasUnreportedChange = true
        updateShares(now)
    }

    fun stop(command: WorkerCommand.Stop, now: Long) {
        lastCompletedCommand = maxOf(lastCompletedCommand, command.number)
        val run = runs.remove(command.task) ?: return
        check(now >= 0)
        stops++
        ended += AttemptEnd(++lastEnd, command.task, command.attempt, EndCause.Stopped, "${run.done}")
        hasUnreportedChange = true
    }

    fun acknowledge(upTo: Long) {
        ended.removeAll { it.number <= upTo }
    }

    /** Simulates one time step that ends at [now]. */
    fun advance(now: Long) {
        val serving = runs.values.filter { it.profile.latencyTargetMillis != null }
        val backfill = runs.values.filter { it.profile.backfill }
        val used = serving.sumOf { it.profile.cpuMillis * cluster.utilization(it.command.task.job, now) }
        val demand = backfill.filter { now > it.startsAt }.associateWith { it.profile.cpuMillis * it.percent / 100.0 }
        val granted = ((cpu - used) / demand.values.sum().coerceAtLeast(1.0)).coerceIn(0.0, 1.0)
        val utilization = demand.entries.groupBy({ it.key.profile.image.orEmpty() }, { it.value * granted / cpu })
            .mapValues { it.value.sum() }
        for (r in serving) {
            val latency = cluster.latency(r.command.task, r.profile.image.orEmpty(), utilization, now)
            r.over = cluster.recordLatency(latency, SharedWorkerReplay.STEP, r.over)
            r.recordSample(latency)
        }
        for (r in backfill) {
            val cpu = (demand[r] ?: 0.0) * granted
            r.recordSample(cpu)
            r.done += SharedWorkerReplay.STEP * cpu / r.profile.cpuMillis
            if (r.done >= cluster.work(r.command.task)) finish(r)
        }
    }

    private fun finish(r: Run) {
        runs.remove(r.command.task)
        ended += AttemptEnd(++lastEnd, r.command.task, r.command.attempt, EndCause.Done)
        hasUnreportedChange = true
    }

    fun isReportDue(now: Long): Boolean = hasUnreportedChange || now >= reportAt

    fun report(now: Long): WorkerReport {
        if (now >= reportAt) {
            reportAt = now + REPORT_MILLIS
            for (r in runs.values) {
                r.measurement = if (r.window.isEmpty()) 0 else cluster.measure(r.command.task, r.window.average())
            }
            updateShares(now)
        }
        hasUnreportedChange = false
        return WorkerReport(
            profile = profile,
            running = runningAttempts(),
            ended = ended.toList(),
            lastCompletedCommand = lastCompletedCommand,
            listedAtMillis = now,
            remainingLeaseMillis = 3_000,
        )
    }

    private fun updateShares(now: Long) {
        val profiles = runs.mapValues { it.value.profile }
        for (s in throttle.decide(BackfillThrottle.Inputs(runningAttempts(), profiles, cpu, weight), now)) {
            runs[s.task]?.percent = s.percent
            throttle.recordApplied(s)
        }
    }

    private fun runningAttempts(): List<RunningAttempt> = runs.values.map { r ->
        val mean = if (r.window.isEmpty()) 0.0 else r.window.average()
        val isServing = r.profile.latencyTargetMillis != null
        RunningAttempt(
            task = r.command.task,
            attempt = r.command.attempt,
            percent = if (isServing) FULL else (FULL * r.done / cluster.work(r.command.task)).toInt().coerceAtMost(99),
            load = if (isServing) r.measurement else mean.toLong(),
        ).withShare(throttle.shareOf(r.command.task, r.command.attempt))
    }

    private companion object {
        const val FULL = 100
        const val WINDOW = 5
        const val REPORT_MILLIS = 500L
        const val RESTORE_MILLIS = 300L
    }
}
