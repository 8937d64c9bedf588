package org.camphorhall.bench

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.split
import com.github.ajalt.clikt.parameters.types.long
import com.github.ajalt.clikt.parameters.types.path

/** Measures the latency during a demand peak and the wait of short requests that share workers with long ones. */
internal class LatencyCommand : CliktCommand("latency") {
    private val seeds by option("--seeds").long().split(",").default(listOf(1, 2, 3, 4, 5))
    private val out by option("--out", help = "Directory of the tables").path().default(measurementsDirectory)

    override fun run() {
        val report = BenchmarkReport(
            "latency",
            "Latency of requests under load",
            virtualConditions(seeds) + " Service times are lognormal with a mean of 20 ms, one in 400 takes 50 times " +
                "as long; target 200 ms. Crest: 11 workers with 8 slots, 5 s at 3 times half the capacity; answered " +
                "requests that arrived in the crest. Short beside long: one worker, waves of 2 s at 0.9 of the " +
                "capacity in each 10 s, else 0.3; long requests of 1 s, 6 a second.",
        )
        report.demandPeaks()
        report.mixedWorkloads()
        report.write(out)
    }

    private fun BenchmarkReport.demandPeaks() {
        val defaultRuns = seeds.map { demandPeak(it, baseline = false) }
        val baselineRuns = seeds.map { demandPeak(it, baseline = true) }
        val runsByPolicy =
            listOf("default policies" to defaultRuns, "least outstanding without admission" to baselineRuns)
        for ((name, runs) in runsByPolicy) {
            row(
                "crest" to name,
                "p99 ms" to spreadOf(runs.map { it.totalP99Millis }),
                "refused share" to spreadOf(runs.map { it.refusedShare }),
                "unknown" to runs.sumOf { it.unknown },
            )
        }
        val ratios = defaultRuns.zip(baselineRuns) { a, b -> a.totalP99Millis / b.totalP99Millis }
        row("figure" to "p99 against baseline", "ratio" to spreadOf(ratios), "target" to "at most 0.2")
    }

    private fun BenchmarkReport.mixedWorkloads() {
        val ratios = mutableMapOf<Boolean, List<Double>>()
        val pooled = mutableMapOf<Boolean, Double>()
        for (baseline in listOf(false, true)) {
            val resultsWithLong = seeds.map { mixedWorkload(it, long = true, baseline) }
            val resultsWithoutLong = seeds.map { mixedWorkload(it, long = false, baseline) }
            val withLong = resultsWithLong.map { summarizeByClass(it) }
            val withoutLong = resultsWithoutLong.map { summarizeByClass(it) }
            val policy = if (baseline) "baseline" else "default"
            for ((name, runs) in listOf("without long" to withoutLong, "with long" to withLong)) {
                val short = runs.map { it.getValue("quotes") }
                val long = runs.mapNotNull { it["plans"] }
                row(
                    "policies" to policy,
                    "requests" to name,
                    "short wait p99 ms" to spreadOf(short.map { it.waitP99Millis }),
                    "short refused" to spreadOf(short.map { it.refusedShare }),
                    "long answered a second" to
                        if (long.isEmpty()) "none" else spreadOf(long.map { it.offered * (1 - it.refusedShare) / 110 }),
                    "long p99 ms" to if (long.isEmpty()) "none" else spreadOf(long.map { it.totalP99Millis }),
                )
            }
            pooled[baseline] = summarizeByClass(resultsWithLong.flatten()).getValue("quotes").waitP99Millis /
                summarizeByClass(resultsWithoutLong.flatten()).getValue("quotes").waitP99Millis
            ratios[baseline] = withLong.zip(withoutLong) { a, b ->
                a.getValue("quotes").waitP99Millis / b.getValue("quotes").waitP99Millis
            }
        }
        val metric = "short wait p99, with against without long"
        for ((name, baseline) in listOf(metric to false, "the same with the baseline" to true)) {
            row(
                "figure" to name,
                "ratio by seed" to spreadOf(ratios.getValue(baseline)),
                "ratio over all seeds" to pooled.getValue(baseline),
                "target" to if (baseline) "none" else "at most 1.5",
            )
        }
    }
}
