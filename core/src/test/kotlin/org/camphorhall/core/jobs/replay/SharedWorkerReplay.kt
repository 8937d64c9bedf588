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
 * Plays a [ReplayLoad] in virtual time against a [JobShard] and the throttles of the agents. The store and all
 * connections answer at once.
 */
internal class SharedWorkerReplay(private val load: ReplayLoad, seed: Long) {
    private val random = Random(seed)
    private val shard = JobShard()
    private val world = ReplayWorld(load, random)
    private val weights = HashMap<Pair<String, String>, Double>()
    private val workers = load.workers.mapIndexed { i, cpu ->
        ReplayWorker(i, cpu, world) { s, b -> weights[s to b] ?: Interference.DEFAULT_WEIGHT }
    }
    private val jobs = LinkedHashMap<String, BatchJob>()
    private var now = 0L
    private var revision = 0L

    private class BatchJob(val arrivedAt: Long, val chainMillis: Long, val work: Double) {
        var endedAt: Long? = null
    }

    fun run(): ReplayResult {
        while (now < ATTACHED) step()
        repeat(load.servingJobs) { shard.accept(servingJob(it), now) }
        var next = START
        while (now < load.arrivalMillis + START + TAIL) {
            if (now >= next && now < START + load.arrivalMillis) {
                submit()
                next += gap()
            }
            step()
        }
        return result()
    }

    private fun gap(): Long {
        val isBurst = now - START in load.burstFrom..load.burstUntil
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
                is ShardOutput.Send -> workers.first { it.session == o.session }.take(o.command, now)
                is ShardOutput.AcknowledgeEnds -> workers.first { it.session == o.session }.forget(o.number)
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
        var chain = 0L
        var work = 0.0
        val image = "backfill-${random.nextInt(load.backfillImages)}"
        val steps = List(1 + random.nextInt(MAX_STEPS)) { i ->
            val millis = (load.batchMillis * exp(0.5 * random.nextGaussian())).toLong().coerceIn(400, 15_000)
            val tasks = (load.batchTasks * exp(0.5 * random.nextGaussian())).toInt().coerceIn(1, 32)
            val cpu = (load.batchCpu * (0.6 + 0.8 * random.nextDouble())).toLong()
            chain += world.define(id, i, tasks, millis)
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
        jobs[id] = BatchJob(now, chain, work)
        shard.accept(JobRecord(id, JobSpec("", steps), BATCH, now), now)
        settle()
    }

    private fun result(): ReplayResult {
        val mean = jobs.values.map { it.work }.average()
        var earned = 0.0
        var owed = 0.0
        for (j in jobs.values) {
            val worth = (0.3 + 0.7 * j.work / mean).coerceAtMost(4.0)
            val target = j.chainMillis * BATCH.stretch + BATCH.targetMillis
            val took = j.endedAt?.minus(j.arrivedAt) ?: Long.MAX_VALUE
            owed += worth
            earned += worth * (if (took <= target) 1.0 else if (took <= 3 * target) 0.15 else 0.0)
        }
        return ReplayResult(
            batch = earned / owed,
            serving = world.serving(now),
            overTargetSeconds = world.overMillis / 1e3,
            longestOverMillis = world.longestOver,
            stops = workers.sumOf { it.stops },
            unfinished = jobs.values.count { it.endedAt == null },
        )
    }

    companion object {
        const val STEP = 100L

        /** Time for the agents to report. */
        const val ATTACHED = 1_000L

        /** Time for the serving tasks to start. */
        const val START = 3_000L
        const val TAIL = 14_000L
        const val MAX_STEPS = 3
        val SERVING = JobClass("serving", "service", 0, 4, 2.2, 2_500, 3_000)
        val BATCH = JobClass("batch", "service", 2, 2, 2.0, 1_000, 3_000)
    }
}

/** Sends an order to where it belongs. */
private fun ReplayWorker.take(order: WorkerCommand, now: Long): Unit = when (order) {
    is WorkerCommand.Start -> start(order, now)
    is WorkerCommand.Stop -> stop(order, now)
}
