package org.camphorhall.core.jobs.replay

import org.camphorhall.core.jobs.TaskRef
import java.util.Random
import kotlin.math.PI
import kotlin.math.exp
import kotlin.math.sin
import kotlin.math.sqrt

/** Actual run times, utilization and interference of the simulated cluster, and the latencies of its serving tasks. */
internal class ReplayCluster(private val load: ReplayLoad, private val random: Random) {
    private val pairs = HashMap<Pair<String, String>, Double>()
    private val phases = HashMap<String, Double>()
    private val workMillis = HashMap<TaskRef, Long>()
    private val measurementErrors = HashMap<TaskRef, Double>()
    private var servingMillis = 0.0
    var overTargetMillis = 0.0
        private set
    var longestOverTargetMillis = 0L
        private set

    /** Draws the run times of the tasks of a step, in milliseconds, and returns the longest. */
    fun addStep(job: String, step: Int, tasks: Int, millis: Long): Long = (0 until tasks).maxOf { i ->
        val work = (millis * exp(0.25 * random.nextGaussian())).toLong()
        workMillis[TaskRef(job, 0, step, i)] = work
        work
    }

    fun work(t: TaskRef): Long = workMillis.getValue(t)

    /** Fraction of its declared CPU that a serving task of [job] uses at [now]. */
    fun utilization(job: String, now: Long): Double {
        val phase = phases.getOrPut(job) { 2 * PI * random.nextDouble() }
        return load.utilization * (1 + load.amplitude * sin(2 * PI * now / load.periodMillis + phase))
    }

    private fun weight(serving: String, backfill: String): Double = pairs.getOrPut(serving to backfill) {
        val base = if (random.nextDouble() < load.strongPairs) load.strong else load.weak
        base * (0.7 + 0.6 * random.nextDouble())
    }

    /** Tail latency of a serving task beside backfill tasks with [backfillUtilization] of its worker by image. */
    fun latency(task: TaskRef, image: String, backfillUtilization: Map<String, Double>, now: Long): Double {
        val slowdown = 1 + backfillUtilization.entries.sumOf { (other, part) -> weight(image, other) * part }
        return load.unloadedMillis / (1 - utilization(task.job, now) * slowdown).coerceAtLeast(0.02)
    }

    /** Records [millis] of a serving task at [latency]; returns its continuous time over its target. */
    fun recordLatency(latency: Double, millis: Long, overTargetSoFar: Long): Long {
        servingMillis += millis
        if (latency <= load.targetMillis) return 0
        overTargetMillis += millis
        longestOverTargetMillis = maxOf(longestOverTargetMillis, overTargetSoFar + millis)
        return overTargetSoFar + millis
    }

    /** A measured value as a worker reports it, with an error that is correlated with that of the previous value. */
    fun measure(task: TaskRef, latency: Double): Long {
        val error = 0.09 * random.nextGaussian()
        val last = measurementErrors.put(task, error) ?: 0.0
        return (latency * (1 + (error + last) / sqrt(2.0))).toLong().coerceAtLeast(1)
    }

    /** Score of the serving tasks, at most 1. Time over the target, caused by other tasks, is deducted four times. */
    fun servingScore(now: Long): Double = if (now == 0L) 1.0 else 1 - 4 * overTargetMillis / servingMillis
}
