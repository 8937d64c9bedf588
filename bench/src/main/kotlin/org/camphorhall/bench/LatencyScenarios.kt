package org.camphorhall.bench

import org.camphorhall.core.policy.AgentPolicy
import org.camphorhall.core.policy.admitAll
import org.camphorhall.core.policy.anySlot
import org.camphorhall.core.policy.firstInFirstOut
import org.camphorhall.core.policy.routeByLeastOutstanding
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

private const val SLOTS = 8
private const val SHORT_MEAN = 0.02
private const val LONG_MEAN = 1.0

/** One in this many short requests takes 50 times as long. */
private const val RARE = 400
private const val RARE_FACTOR = 50.0

/** Mean service time of the short class with its rare long requests. */
private const val SHORT_WORK = SHORT_MEAN * (1 + (RARE_FACTOR - 1) / RARE)

/** Queues without admission must not be bounded by their length. */
private const val UNBOUNDED = 1_000_000

private val shortService = heavyTailed(SHORT_MEAN, RARE, RARE_FACTOR)

private fun baseline(workers: Int) = FleetOptions(
    workers,
    policy = AgentPolicy(admission = admitAll, queueOrder = firstInFirstOut, slots = anySlot),
    route = ::routeByLeastOutstanding,
    maxQueue = UNBOUNDED,
)

/** Runs 11 workers at half their capacity and three times that from second 10 to second 15. */
internal fun crest(seed: Long, baseline: Boolean): LatencyFigures {
    val workers = 11
    val base = 0.5 * workers * SLOTS / SHORT_WORK
    val rate = { t: Duration -> if (t >= CREST_START && t < CREST_END) base * 3 else base }
    val source = RequestSource(quotes, rate, base * 3, timeout = 30.seconds, shortService)
    val driver = FleetDriver(if (baseline) baseline(workers) else FleetOptions(workers), listOf(source), seed)
    driver.run(22.seconds)
    return LatencyFigures(driver.results.filter { it.arrived in CREST_START..CREST_END })
}

private val CREST_START = 10.seconds
private val CREST_END = 15.seconds

/** Runs one worker with short requests in waves and, if [long], with more long requests than it can take. */
internal fun mixed(
    seed: Long,
    long: Boolean,
    baseline: Boolean,
    length: Duration = 120.seconds,
): List<RequestResult> {
    val full = SLOTS / SHORT_WORK
    val waves = { t: Duration -> if (t.inWholeSeconds % 10 < 2) full * 0.9 else full * 0.3 }
    val short = RequestSource(quotes, waves, full * 0.9, timeout = 30.seconds, shortService)
    val slow = RequestSource(plans, { 6.0 }, 6.0, timeout = 10.seconds, heavyTailed(LONG_MEAN, 0, 1.0))
    val options = if (baseline) baseline(1) else FleetOptions(1)
    val driver = FleetDriver(options, listOfNotNull(short, slow.takeIf { long }), seed)
    driver.run(length)
    return driver.results.filter { it.arrived > 10.seconds }
}

/** Figures of each class. */
internal fun figuresOf(results: List<RequestResult>): Map<String, LatencyFigures> =
    results.groupBy { it.className.value }.mapValues { LatencyFigures(it.value) }
