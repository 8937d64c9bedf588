package org.camphorhall.core.policy

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

internal class CircuitBreakerTest {
    private class Case(val allowed: Boolean, val events: CircuitBreaker.() -> Unit)

    private val cases = mapOf(
        "no calls" to Case(true) {},
        "one failure" to Case(true) { recordFailure(NOW) },
        "two failures" to Case(false) { open(NOW) },
        "two failures and a success" to Case(true) {
            open(NOW)
            recordSuccess()
        },
        "a success between two failures" to Case(true) {
            recordFailure(NOW)
            recordSuccess()
            recordFailure(NOW)
        },
        "two failures a probe interval ago" to Case(true) { open(NOW - 250) },
        "a probe within the interval" to Case(false) {
            open(NOW - 260)
            allowCall(NOW - 10)
        },
    )

    private fun CircuitBreaker.open(at: Long) = repeat(2) { recordFailure(at) }

    /** Guards against calls that all wait for an unavailable service, and against a recovery that is not detected. */
    @Test
    fun `an open breaker allows one probe per interval`() {
        for ((name, case) in cases) {
            expectThat(CircuitBreaker().apply(case.events).allowCall(NOW)).describedAs(name).isEqualTo(case.allowed)
        }
    }

    private companion object {
        const val NOW = 10_000L
    }
}
