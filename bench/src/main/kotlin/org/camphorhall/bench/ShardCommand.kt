package org.camphorhall.bench

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.split
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import com.github.ajalt.clikt.parameters.types.path
import org.camphorhall.core.shard.ShardSettings
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Measures the start latency and the store calls of a shard owner at the peak rate of starts. */
internal class ShardCommand : CliktCommand("shard") {
    private val seeds by option("--seeds").long().split(",").default(listOf(1, 2, 3))
    private val seconds by option("--seconds", help = "Measured virtual time").int().default(20)
    private val out by option("--out", help = "Directory of the tables").path().default(measurementsDirectory)

    override fun run() {
        val report = BenchmarkReport(
            "shard",
            "Shard owner at the peak rate of task starts",
            virtualConditions(seeds) + " 14,000 workers known; the store answers in 5 ms; step times are wall time " +
                "on a shared machine. Targets: start latency p99 under 4.3 s, at most 0.1 store calls per start.",
        )
        report.add("one shard, 960 starts/s", ShardLoad(960.0, 20, 5.seconds), 20.milliseconds)
        for (interval in listOf(20.milliseconds, 1.seconds, 3.seconds)) {
            report.add("one of 256 shards at 960 starts/s in all", ShardLoad(960.0 / 256, 1, 60.seconds), interval)
        }
        report.write(out)
    }

    private fun BenchmarkReport.add(name: String, load: ShardLoad, interval: Duration) {
        val length = seconds.seconds * if (load.startsPerSecond < 10) 10 else 1
        val runs = seeds.map { seed ->
            val settings = ShardSettings(writeInterval = interval, maxJobs = 20_000)
            ShardDriver(load, settings, seed).also { it.run(length) }
        }
        row(
            "load" to name,
            "write interval" to interval,
            "starts" to runs.sumOf { it.starts },
            "start p99 ms" to spreadOf(runs.map { it.startLatency.getValueAtPercentile(99.0) / 1e3 }),
            "store calls per start" to spreadOf(runs.map { it.storeCalls.toDouble() / it.starts }),
            "tick p50 µs" to runs.micros("Tick", 50.0),
            "tick p99 µs" to runs.micros("Tick", 99.0),
            "heartbeat p99 µs" to runs.micros("HeartbeatReceived", 99.0),
            "page event p99 µs" to runs.micros("PageResponse", 99.0),
        )
    }

    private fun List<ShardDriver>.micros(event: String, percentile: Double): Spread =
        spreadOf(map { it.stepTimes.getValue(event).getValueAtPercentile(percentile) / 1e3 })
}
