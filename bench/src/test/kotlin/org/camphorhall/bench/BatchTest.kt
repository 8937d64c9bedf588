package org.camphorhall.bench

import org.camphorhall.core.policy.AgentPolicy
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestInstance
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThanOrEqualTo
import kotlin.time.Duration.Companion.seconds

@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class BatchTest {
    private val seeds = listOf(1L, 2L, 3L)
    private val length = 900.seconds
    private val withDefault = seeds.map { batchBesideRequests(it, AgentPolicy(), length) }

    /** Guards against waves of requests that evict batch tasks where a throttle would suffice. */
    @Test
    fun `waves of requests evict at most a third of the tasks of the baseline`() {
        val evictNewest = seeds.map { batchBesideRequests(it, evictNewestPolicy, length) }
        expectThat(evictNewest.sumOf { it.evictions }).isGreaterThan(0)
        val evictionRatio = withDefault.sumOf { it.evictions }.toDouble() / evictNewest.sumOf { it.evictions }
        expectThat(evictionRatio).isLessThanOrEqualTo(0.33)
        expectThat(withDefault.sumOf { it.refusedRequests }).isEqualTo(0)
    }

    /** Guards against throttles that are never lifted and against free capacity that stays unused. */
    @Test
    fun `batch tasks use the capacity that requests leave free`() {
        val alone = seeds.zip(withDefault) { s, d -> batchAlone(s, d, length) }
        val progressRatio = withDefault.sumOf { it.progressCoreMillis } / alone.sumOf { it.progressCoreMillis }
        expectThat(progressRatio).isGreaterThanOrEqualTo(0.9)
    }
}
