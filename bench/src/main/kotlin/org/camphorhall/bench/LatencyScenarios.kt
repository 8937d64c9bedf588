package org.camphorhall.bench

import org.camphorhall.core.policy.AgentPolicy
import org.camphorhall.core.policy.admitAll
import org.camphorhall.core.policy.anySlot
import org.camphorhall.core.policy.firstInFirstOut
import org.camphorhall.core.policy.routeByLeastOutstanding
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

private const val SLOTS = 8
private const val SHORT_MEAN_SECONDS = 0.02
private const val LONG_MEAN_SECONDS = 1.0

/** One in this many short requests takes 50 times as long. */
private const val SLOW_ONE_IN = 400
private const val SLOW_FACTOR = 50.0

/** Mean service time of the short class, including its rare slow requests. */
private const val SHORT_MEAN_SECONDS_WITH_SLOW = SHORT_MEAN_SECONDS * (1 + (SLOW_FACTOR - 1) / SLOW_ONE_IN)

/** Queue limit of the baseline, large enough that it never rejects a request. */
private const val UNBOUNDED_QUEUE = 1_000_000

private val shortService = heavyTailed(SHORT_MEAN_SECONDS, SLOW_ONE_IN, SLOW_FACTOR)

private fun baseline(workers: Int) = FleetOptions(
    workers,
    policy = AgentPolicy(admission = admitAll, queueOrder = firstInFirstOut, slots = anySlot),
    route = ::routeByLeastOutstanding,
    maxQueue = UNBOUNDED_QUEUE,
)

/** Runs 11 workers at half their capacity, and at three times that load from 10 s to 15 s. */
internal fun demandPeak(seed: Long, baseline: Boolean): LatencySummary {
    val workers = 11
    val baseRate = 0.5 * workers * SLOTS / SHORT_MEAN_SECONDS_WITH_SLOW
    val rate = { t: Duration -> if (t >= PEAK_START && t < PEAK_END) baseRate * 3 else baseRate }
    val source = RequestSource(quotes, rate, baseRate * 3, timeout = 30.seconds, shortService)
    val driver = FleetDriver(if (baseline) baseline(workers) else FleetOptions(workers), listOf(source), seed)
    driver.run(22.seconds)
    return LatencySummary(driver.results.filter { it.arrived in PEAK_START..PEAK_END })
}

private val PEAK_START = 10.seconds
private val PEAK_END = 15.seconds

/** Runs one worker with waves of short requests and, if [long], with more long requests than it can serve. */
internal fun mixedWorkload(
    seed: Long,
    long: Boolean,
    baseline: Boolean,
    length: Duration = 120.seconds,
): List<RequestResult> {
    val fullRate = SLOTS / SHORT_MEAN_SECONDS_WITH_SLOW
    val waves = { t: Duration -> if (t.inWholeSeconds % 10 < 2) fullRate * 0.9 else fullRate * 0.3 }
    val short = RequestSource(quotes, waves, fullRate * 0.9, timeout = 30.seconds, shortService)
    val slow = RequestSource(plans, { 6.0 }, 6.0, timeout = 10.seconds, heavyTailed(LONG_MEAN_SECONDS, 0, 1.0))
    val options = if (baseline) baseline(1) else FleetOptions(1)
    val driver = FleetDriver(options, listOfNotNull(short, slow.takeIf { long }), seed)
    driver.run(length)
    return driver.results.filter { it.arrived > 10.seconds }
}

/** Summarizes the latencies of each class. */
internal fun summarizeByClass(results: List<RequestResult>): Map<String, LatencySummary> =
    results.groupBy { it.className.value }.mapValues { LatencySummary(it.value) }
