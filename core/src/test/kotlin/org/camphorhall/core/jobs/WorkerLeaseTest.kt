package org.camphorhall.core.jobs

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNull

/** Guards against a worker that runs tasks for longer than its lease. */
internal class WorkerLeaseTest {
    @Test
    fun `a lease on a slow clock ends no later than granted`() {
        val lease = WorkerLease()
        lease.recordClock(millis = 50_000, now = 1_000)
        lease.grant(from = 1_000, leaseMillis = 3_000)
        val until = checkNotNull(lease.endOnWorkerClock(now = 1_500))
        // At 4,000 on the agent's clock a worker whose clock is 2 % slow shows 50,000 + 2,940.
        expectThat(until).isLessThanOrEqualTo(50_000 + 2_940)
    }

    @Test
    fun `a response to an old report does not shorten the lease`() {
        val lease = WorkerLease()
        lease.recordClock(millis = 0, now = 0)
        lease.grant(from = 1_000, leaseMillis = 3_000)
        lease.grant(from = 500, leaseMillis = 3_000)
        expectThat(lease.grantedUntil).isEqualTo(4_000)
    }

    private val withoutLease = mapOf<String, WorkerLease.() -> Unit>(
        "no grant" to { recordClock(0, 0) },
        "no clock reading" to { grant(0, 3_000) },
        "grant of zero" to {
            recordClock(0, 0)
            grant(9_999, 0)
        },
        "expired grant" to {
            recordClock(0, 0)
            grant(0, 3_000)
        },
    )

    @Test
    fun `there is no lease without a valid grant and a clock reading`() {
        for ((name, prepare) in withoutLease) {
            expectThat(WorkerLease().apply(prepare).endOnWorkerClock(now = 3_000)).describedAs(name).isNull()
        }
    }
}
