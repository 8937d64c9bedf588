package org.camphorhall.core.jobs.replay

import org.camphorhall.core.jobs.Interference
import org.camphorhall.core.jobs.JobClass
import org.camphorhall.core.jobs.JobPhase
import org.camphorhall.core.jobs.JobRecord
import org.camphorhall.core.jobs.JobShard
import org.camphorhall.core.jobs.JobSpec
import org.camphorhall.core.jobs.ShardOutput
import org.camphorhall.core.jobs.StepSpec
import org.camphorhall.core.jobs.WorkerCommand
import org.camphorhall.core.model.Resources
import java.util.Random
import kotlin.math.exp

/**
 * Replays a [ReplayLoad] in virtual time against a [JobShard] and the throttles of the agents. The store and all
 * connections respond immediately.
 */
internal class SharedWorkerReplay(private val load: ReplayLoad, seed: Long) {
    private val random = Random(seed)
    private val shard = JobShard()
    private val cluster = ReplayCluster(load, random)
    private val weights = HashMap<Pair<String, String>, Double>()
    private val workers = load.workers.mapIndexed { i, cpu ->
        ReplayWorker(i, cpu, cluster) { s, b -> weights[s to b] ?: Interference.DEFAULT_WEIGHT }
    }
    private val jobs = LinkedHashMap<String, BatchJob>()
    private var now = 0L
    private var revision = 0L

    private class BatchJob(val arrivedAt: Long, val criticalPathMillis: Long, val work: Double) {
        var endedAt: Long? = null
    }

    fun run(): ReplayResult {
        while (now < ATTACH_MILLIS) step()
        repeat(load.servingJobs) { shard.accept(servingJob(it), now) }
        var next = START_MILLIS
        while (now < load.arrivalMillis + START_MILLIS + TAIL_MILLIS) {
            if (now >= next && now < START_MILLIS + load.arrivalMillis) {
                submit()
                next += gap()
            }
            step()
        }
        return result()
    }

    private fun gap(): Long {
        val isBurst = now - START_MILLIS in load.burstFrom..load.burstUntil
        val mean = if (isBurst) load.burstEveryMillis else load.batchEveryMillis
        return (mean * (0.3 + 1.4 * random.nextDouble())).toLong()
    }

    private fun step() {
        now += STEP
        for (w in workers) w.advance(now)
        for (w in workers) {
            if (!w.isReportDue(now)) continue
            shard.report(w.session, w.report(now), now)
            for (d in shard.interference(w.session)) weights[d.serving to d.backfill] = d.weight
            settle()
        }
        shard.tick(now)
        settle()
        for ((id, job) in jobs) {
            if (job.endedAt == null && shard.phaseOf(id) == JobPhase.Completed) job.endedAt = now
        }
    }

    private fun settle() {
        shard.place(now, now)
        while (true) {
            val commit = shard.nextCommit() ?: break
            shard.committed(commit, ++revision, now)
        }
        for (o in shard.takeOutputs()) {
            when (o) {
                is ShardOutput.Send -> workers.first { it.session == o.session }.execute(o.command, now)
                is ShardOutput.AcknowledgeEnds -> workers.first { it.session == o.session }.acknowledge(o.number)
                else -> Unit
            }
        }
    }

    private fun servingJob(n: Int): JobRecord {
        val image = "serving-${n % load.servingImages}"
        val step = StepSpec(
            tasks = load.servingTasks,
            demand = Resources((load.servingCpu * (0.7 + 0.6 * random.nextDouble())).toLong(), 100),
            longRunning = true,
            image = image,
            latencyTargetMillis = load.targetMillis,
            maxPerWorker = if (n % 2 == 0) 2 else null,
        )
        return JobRecord("%016x".format(n + 1), JobSpec("", listOf(step)), SERVING, 0)
    }

    private fun submit() {
        val id = "%016x".format(1_000 + jobs.size)
        var criticalPath = 0L
        var work = 0.0
        val image = "backfill-${random.nextInt(load.backfillImages)}"
        val steps = List(1 + random.nextInt(MAX_STEPS)) { i ->
            val millis = (load.batchMillis * exp(0.5 * random.nextGaussian())).toLong().coerceIn(400, 15_000)
            val tasks = (load.batchTasks * exp(0.5 * random.nextGaussian())).toInt().coerceIn(1, 32)
            val cpu = (load.batchCpu * (0.6 + 0.8 * random.nextDouble())).toLong()
            criticalPath += cluster.addStep(id, i, tasks, millis)
            work += tasks * millis * cpu / 1e6
            StepSpec(
                tasks = tasks,
                demand = Resources(cpu, 100),
                estimateMillis = (millis * (0.5 + random.nextDouble())).toLong(),
                after = if (i == 0) emptyList() else listOf(i - 1),
                checkpoints = random.nextDouble() < 0.85,
                image = image,
                backfill = true,
            )
        }
        jobs[id] = BatchJob(now, criticalPath, work)
        shard.accept(JobRecord(id, JobSpec("", steps), BATCH, now), now)
        settle()
    }

    private fun result(): ReplayResult {
        val mean = jobs.values.map { it.work }.average()
        var achieved = 0.0
        var possible = 0.0
        for (j in jobs.values) {
            val value = (0.3 + 0.7 * j.work / mean).coerceAtMost(4.0)
            val target = j.criticalPathMillis * BATCH.stretch + BATCH.targetMillis
            val duration = j.endedAt?.minus(j.arrivedAt) ?: Long.MAX_VALUE
            possible += value
            achieved += value * (if (duration <= target) 1.0 else if (duration <= 3 * target) 0.15 else 0.0)
        }
        return ReplayResult(
            batch = achieved / possible,
            serving = cluster.servingScore(now),
            overTargetSeconds = cluster.overTargetMillis / 1e3,
            longestOverMillis = cluster.longestOverTargetMillis,
            stops = workers.sumOf { it.stops },
            unfinished = jobs.values.count { it.endedAt == null },
        )
    }

    companion object {
        const val STEP = 100L

        /** Time for the agents to report. */
        const val ATTACH_MILLIS = 1_000L

        /** Time for the serving tasks to start. */
        const val START_MILLIS = 3_000L
        const val TAIL_MILLIS = 14_000L
        const val MAX_STEPS = 3
        val SERVING = JobClass("serving", "service", 0, 4, 2.2, 2_500, 3_000)
        val BATCH = JobClass("batch", "service", 2, 2, 2.0, 1_000, 3_000)
    }
}

/** Executes [command] on the worker. */
private fun ReplayWorker.execute(command: WorkerCommand, now: Long): Unit = when (command) {
    is WorkerCommand.Start -> start(command, now)
    is WorkerCommand.Stop -> stop(command, now)
}
