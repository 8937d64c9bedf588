package org.camphorhall.e2e

import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import java.nio.file.Path

/** A job whose acceptance is unknown to its caller, who cancels it at another entry. */
internal class UnknownCancellationTest {
    @TempDir
    lateinit var dir: Path

    /** Guards against a cancelled job that runs, because a write of it is carried out after the acknowledgement. */
    @Test
    fun `a job that was cancelled before a late write of it does not run`() {
        SchedulerDeployment(dir, workers = 2, entries = 2).use { d ->
            val (first, second) = d.entries
            awaitCondition("both entries accept jobs") {
                d.submit(first, EARLIER, 100) == HTTP_OK && d.submit(second, EARLIER, 100) == HTTP_OK
            }
            d.setStoreFaults("""{"latePercent":100,"lateMillis":$LATE_MILLIS}""")
            val submittedAt = nowMillis()
            expectThat(d.submit(first, JOB, 100)).isEqualTo(GATEWAY_TIMEOUT)
            d.setStoreFaults("{}")
            expectThat(d.cancel(second, JOB)).isEqualTo(GONE)
            // Repeated at the other entry, as after a request without a response.
            expectThat(d.submit(second, JOB, 100)).isEqualTo(GONE)
            val lastWriteAt = submittedAt + CALLER_TIMEOUT_MILLIS + LATE_MILLIS
            Thread.sleep(lastWriteAt + SETTLING_MILLIS - nowMillis())
            awaitCondition("the shard works again") { d.jobState(second, EARLIER) == "completed" }
            expectThat(d.runs().started.filter { it.startsWith(JOB) }).isEmpty()
            expectThat(d.jobState(second, JOB)).isEqualTo(null)
        }
    }

    private companion object {
        const val HTTP_OK = SchedulerDeployment.HTTP_OK
        const val GATEWAY_TIMEOUT = 504
        const val GONE = 410
        const val EARLIER = "00000000000000d0"
        const val JOB = "00000000000000dd"
        const val LATE_MILLIS = 6_000L

        /** Timeout of requests in the configuration of [SchedulerDeployment]. */
        const val CALLER_TIMEOUT_MILLIS = 3_000L

        /** Time in which an owner of the shard finds a job and starts it. */
        const val SETTLING_MILLIS = 5_000L
    }
}
