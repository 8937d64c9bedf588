package org.camphorhall.e2e

import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.nio.file.Path

/** An entry whose own path to the key-value service fails, while that of the owner is sound. */
internal class EntryStorePathTest {
    @TempDir
    lateinit var dir: Path

    /** Guards against jobs that are rejected, or cancellations that are lost, although only one entry is cut off. */
    @Test
    fun `an entry that is cut off from the store takes and cancels jobs through the owner`() {
        SchedulerDeployment(dir, workers = 2, entries = 1, hasStoreRelays = true).use { d ->
            val entry = d.entries.single()
            awaitCondition("the entry accepts a job") {
                d.submit(entry, "00000000000000a0", 100) == SchedulerDeployment.HTTP_OK
            }
            // An entry learns from the store who the owner is, and only the owner tells how many jobs wait.
            awaitCondition("the entry knows the owner") { d.queryWaitingJobs(entry) == SchedulerDeployment.HTTP_OK }
            d.storeRelays.single().setFaults("""{"partition":true}""")
            expectThat(d.submit(entry, "00000000000000a1", runMillis = 60_000)).isEqualTo(SchedulerDeployment.HTTP_OK)
            expectThat(d.submit(entry, "00000000000000a2", runMillis = 100)).isEqualTo(SchedulerDeployment.HTTP_OK)
            expectThat(d.cancel(entry, "00000000000000a1")).isEqualTo(SchedulerDeployment.HTTP_OK)
            awaitCondition("the second job completes") { d.jobState(entry, "00000000000000a2") == "completed" }
            awaitCondition("the first job is cancelled") { d.jobState(entry, "00000000000000a1") == "cancelled" }
        }
    }
}
