package org.camphorhall.bench

import org.camphorhall.core.shard.ShardSettings
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.isLessThan
import strikt.assertions.isLessThanOrEqualTo
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class ShardDriverTest {
    /**
     * Guards against start latencies above the target of urgent work, and against one store call per start. An attempt
     * whose write was in flight counted as expired on a worker from which the owner had received nothing for 12 s; with
     * long write intervals, starts then took 17 s.
     */
    @ParameterizedTest
    @CsvSource("960.0, 20, 20, 1", "3.75, 1, 3000, 200")
    fun `starts meet the latency target and share calls`(rate: Double, tasks: Int, intervalMillis: Int, seconds: Int) {
        val settings = ShardSettings(writeInterval = intervalMillis.milliseconds)
        val load = ShardLoad(rate, tasks, taskTime = 5.seconds, workers = 1_000)
        val driver = ShardDriver(load, settings, seed = 7)
        driver.run(seconds.seconds)
        expectThat(driver.startLatency.getValueAtPercentile(99.0) / 1_000).isLessThan(4_300)
        expectThat(driver.storeCalls.toDouble() / driver.starts).isLessThanOrEqualTo(0.1)
    }
}
