package org.camphorhall.core.policy

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

internal class CircuitBreakerTest {
    private class Case(val allowed: Boolean, val events: CircuitBreaker.() -> Unit)

    private val cases = mapOf(
        "a new one" to Case(true) {},
        "one failure" to Case(true) { recordFailure(NOW) },
        "two failures" to Case(false) { fail(NOW) },
        "two failures and an answer" to Case(true) {
            fail(NOW)
            recordSuccess()
        },
        "an answer between two failures" to Case(true) {
            recordFailure(NOW)
            recordSuccess()
            recordFailure(NOW)
        },
        "two failures a while ago" to Case(true) { fail(NOW - 250) },
        "a second call soon after that" to Case(false) {
            fail(NOW - 260)
            allowCall(NOW - 10)
        },
    )

    private fun CircuitBreaker.fail(at: Long) = repeat(2) { recordFailure(at) }

    /** Guards against callers that wait for a service that is away, and against its return that nobody notices. */
    @Test
    fun `a service that fails is called now and then`() {
        for ((name, case) in cases) {
            expectThat(CircuitBreaker().apply(case.events).allowCall(NOW)).describedAs(name).isEqualTo(case.allowed)
        }
    }

    private companion object {
        const val NOW = 10_000L
    }
}
