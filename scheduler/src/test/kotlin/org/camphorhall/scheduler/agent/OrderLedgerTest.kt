package org.camphorhall.scheduler.agent

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** Guards against an order that counts as carried out before it was, so that its attempt would be taken as lost. */
internal class OrderLedgerTest {
    private val cases = mapOf(
        emptyList<Long>() to 0L,
        listOf(1L) to 1L,
        listOf(2L) to 0L,
        listOf(3L, 1L) to 1L,
        listOf(3L, 1L, 2L) to 3L,
    )

    @Test
    fun `orders count only together with all orders before them`() {
        for ((ended, expected) in cases) {
            val ledger = OrderLedger()
            ended.forEach(ledger::end)
            expectThat(ledger.doneUpTo).describedAs("$ended").isEqualTo(expected)
        }
    }

    @Test
    fun `a new connection counts from the start`() {
        val ledger = OrderLedger()
        ledger.end(1)
        ledger.reset()
        expectThat(ledger.doneUpTo).isEqualTo(0)
    }
}
