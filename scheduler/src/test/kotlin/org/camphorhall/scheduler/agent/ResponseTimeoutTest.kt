package org.camphorhall.scheduler.agent

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** Guards against agents that overload an owner short of processor time by reconnecting too often. */
internal class ResponseTimeoutTest {
    private val cases = mapOf(
        "" to 1_500L,
        "s" to 3_000L,
        "ss" to 6_000L,
        "sss" to 6_000L,
        "ssa" to 1_500L,
        "ssas" to 3_000L,
    )

    @Test
    fun `each timeout doubles the next one and a response resets it`() {
        for ((events, millis) in cases) {
            val responseTimeout = ResponseTimeout()
            for (e in events) if (e == 's') responseTimeout.recordTimeout() else responseTimeout.recordResponse()
            expectThat(responseTimeout.millis).describedAs(events).isEqualTo(millis)
        }
    }
}
