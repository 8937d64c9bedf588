package org.camphorhall.bench

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.split
import com.github.ajalt.clikt.parameters.types.long
import com.github.ajalt.clikt.parameters.types.path
import org.camphorhall.core.policy.AgentPolicy
import org.camphorhall.core.policy.evictNewest
import org.camphorhall.core.policy.noHeadroom
import org.camphorhall.core.policy.noRestore
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Measures evictions and throughput of batch tasks that share a worker with waves of requests. */
internal class BatchCommand : CliktCommand("batch") {
    private val seeds by option("--seeds").long().split(",").default(listOf(1, 2, 3, 4, 5))
    private val out by option("--out", help = "Directory of the tables").path().default(measurementsDirectory)

    override fun run() {
        val report = BenchmarkReport(
            "batch",
            "Batch tasks beside waves of requests",
            virtualConditions(seeds) + " One worker with 64 cores and 250,000 MiB, 8 slots of 3 cores and 4,000 MiB; " +
                "requests of 100 ms ask for 0.2 of the slots, and for 0.9 in waves of 1 to 4 s; an endless backlog " +
                "of tasks of 2 to 8 cores; an eviction takes 1.5 s and a start 3 s; 30 min.",
        )
        val length = 1_800.seconds
        val defaultRuns = seeds.map { batchBesideRequests(it, AgentPolicy(), length) }
        val evictNewestRuns = seeds.map { batchBesideRequests(it, evictNewestPolicy, length) }
        val batchAloneRuns = seeds.zip(defaultRuns) { s, d -> batchAlone(s, d, length) }
        val runsByPolicy =
            listOf("default" to defaultRuns, "evict newest" to evictNewestRuns, "batch alone" to batchAloneRuns)
        for ((name, runs) in runsByPolicy) {
            report.row(
                "policies" to name,
                "evictions" to spreadOf(runs.map { it.evictions.toDouble() }),
                "progress, core hours" to spreadOf(runs.map { it.progressCoreMillis / 3.6e6 }),
                "tasks finished" to spreadOf(runs.map { it.finished.toDouble() }),
                "share changes" to spreadOf(runs.map { it.shareChanges.toDouble() }),
                "requests answered" to runs.sumOf { it.answeredRequests },
                "requests not answered" to runs.sumOf { it.refusedRequests },
                "mean request use, cores" to spreadOf(runs.map { it.meanRequestUsage.cpuMillis / 1e3 }),
            )
        }
        val evictions = defaultRuns.zip(evictNewestRuns) { a, b -> a.evictions.toDouble() / b.evictions }
        val throughput = defaultRuns.zip(batchAloneRuns) { a, b -> a.progressCoreMillis / b.progressCoreMillis }
        val targets = listOf(
            Triple("evictions against evict newest", evictions, "at most 0.33"),
            Triple("progress against batch alone", throughput, "at least 0.9"),
        )
        for ((metric, ratios, target) in targets) {
            report.row("figure" to metric, "ratio" to spreadOf(ratios), "target" to target)
        }
        report.write(out)
    }
}

internal val evictNewestPolicy =
    AgentPolicy(headroom = noHeadroom, reclaim = ::evictNewest, restore = noRestore)

/** Runs batch tasks on a worker that also serves waves of requests. */
internal fun batchBesideRequests(seed: Long, policy: AgentPolicy, length: Duration): BatchDriver =
    BatchDriver(BatchOptions(policy), seed).also { it.run(length) }

/** Runs batch tasks alone on the capacity that the requests of [requestRun] left free on average. */
internal fun batchAlone(seed: Long, requestRun: BatchDriver, length: Duration): BatchDriver {
    val totalCapacity = BatchOptions(AgentPolicy()).capacity
    val capacity = totalCapacity - requestRun.meanRequestUsage
    val options = BatchOptions(AgentPolicy(headroom = noHeadroom), capacity, peakLoad = 0.0)
    return BatchDriver(options, seed).also { it.run(length) }
}
