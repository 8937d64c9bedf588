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

/** A worker and its agent. Backfill tasks share what the other tasks leave unused; figures cover half a second. */
internal class ReplayWorker(
    index: Int,
    private val cpu: Long,
    private val world: ReplayWorld,
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
    private var hasNews = false
    var stops = 0
        private set

    private class Run(val order: WorkerCommand.Start, val doneBefore: Double, val startsAt: Long) {
        val traits = order.profile
        var done = doneBefore
        var percent = FULL
        var over = 0L
        val window = ArrayDeque<Double>()
        var figure = 0L

        fun note(figure: Double) {
            window += figure
            if (window.size > WINDOW) window.removeFirst()
        }
    }

    fun start(order: WorkerCommand.Start, now: Long) {
        lastCompletedCommand = maxOf(lastCompletedCommand, order.number)
        val saved = order.checkpoint.toDoubleOrNull() ?: 0.0
        runs[order.task] = Run(order, saved, now + if (saved > 0) RESTORE else 0)
        hasNews = true
        balance(now)
    }

    fun stop(order: WorkerCommand.Stop, now: Long) {
        lastCompletedCommand = maxOf(lastCompletedCommand, order.number)
        val run = runs.remove(order.task) ?: return
        check(now >= 0)
        stops++
        ended += AttemptEnd(++lastEnd, order.task, order.attempt, EndCause.Stopped, "${run.done}")
        hasNews = true
    }

    fun forget(upTo: Long) {
        ended.removeAll { it.number <= upTo }
    }

    /** Plays one step that ends at [now]. */
    fun advance(now: Long) {
        val serving = runs.values.filter { it.traits.latencyTargetMillis != null }
        val backfill = runs.values.filter { it.traits.backfill }
        val used = serving.sumOf { it.traits.cpuMillis * world.utilization(it.order.task.job, now) }
        val wanted = backfill.filter { now > it.startsAt }.associateWith { it.traits.cpuMillis * it.percent / 100.0 }
        val part = ((cpu - used) / wanted.values.sum().coerceAtLeast(1.0)).coerceIn(0.0, 1.0)
        val use = wanted.entries.groupBy({ it.key.traits.image.orEmpty() }, { it.value * part / cpu })
            .mapValues { it.value.sum() }
        for (r in serving) {
            val latency = world.latency(r.order.task, r.traits.image.orEmpty(), use, now)
            r.over = world.count(latency, SharedWorkerReplay.STEP, r.over)
            r.note(latency)
        }
        for (r in backfill) {
            val cpu = (wanted[r] ?: 0.0) * part
            r.note(cpu)
            r.done += SharedWorkerReplay.STEP * cpu / r.traits.cpuMillis
            if (r.done >= world.work(r.order.task)) finish(r)
        }
    }

    private fun finish(r: Run) {
        runs.remove(r.order.task)
        ended += AttemptEnd(++lastEnd, r.order.task, r.order.attempt, EndCause.Done)
        hasNews = true
    }

    fun isReportDue(now: Long): Boolean = hasNews || now >= reportAt

    fun report(now: Long): WorkerReport {
        if (now >= reportAt) {
            reportAt = now + PERIOD
            for (r in runs.values) {
                r.figure = if (r.window.isEmpty()) 0 else world.figure(r.order.task, r.window.average())
            }
            balance(now)
        }
        hasNews = false
        return WorkerReport(
            profile = profile,
            running = rows(),
            ended = ended.toList(),
            lastCompletedCommand = lastCompletedCommand,
            listedAtMillis = now,
            remainingLeaseMillis = 3_000,
        )
    }

    private fun balance(now: Long) {
        val traits = runs.mapValues { it.value.traits }
        for (s in throttle.decide(BackfillThrottle.Inputs(rows(), traits, cpu, weight), now)) {
            runs[s.task]?.percent = s.percent
            throttle.recordApplied(s)
        }
    }

    private fun rows(): List<RunningAttempt> = runs.values.map { r ->
        val figure = if (r.window.isEmpty()) 0.0 else r.window.average()
        val isServing = r.traits.latencyTargetMillis != null
        RunningAttempt(
            task = r.order.task,
            attempt = r.order.attempt,
            percent = if (isServing) FULL else (FULL * r.done / world.work(r.order.task)).toInt().coerceAtMost(99),
            load = if (isServing) r.figure else figure.toLong(),
            share = throttle.shareOf(r.order.task, r.order.attempt),
        )
    }

    private companion object {
        const val FULL = 100
        const val WINDOW = 5
        const val PERIOD = 500L
        const val RESTORE = 300L
    }
}
