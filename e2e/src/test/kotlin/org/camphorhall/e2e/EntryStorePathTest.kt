package org.camphorhall.e2e

import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.nio.file.Path

/** An entry that cannot reach the key-value service while the shard owner can. */
internal class EntryStorePathTest {
    @TempDir
    lateinit var dir: Path

    /** Guards against rejected jobs and lost cancellations when only the entry is partitioned from the store. */
    @Test
    fun `an entry without access to the store accepts and cancels jobs through the shard owner`() {
        SchedulerDeployment(dir, workers = 2, entries = 1, hasStoreRelays = true).use { d ->
            val entry = d.entries.single()
            awaitCondition("the entry accepts a job") {
                d.submit(entry, "00000000000000a0", 100) == SchedulerDeployment.HTTP_OK
            }
            // An entry reads the owner from the store, and only the owner reports the number of waiting jobs.
            awaitCondition("the entry has found the owner") { d.queryWaitingJobs(entry) == SchedulerDeployment.HTTP_OK }
            d.storeRelays.single().setFaults("""{"partition":true}""")
            expectThat(d.submit(entry, "00000000000000a1", runMillis = 60_000)).isEqualTo(SchedulerDeployment.HTTP_OK)
            expectThat(d.submit(entry, "00000000000000a2", runMillis = 100)).isEqualTo(SchedulerDeployment.HTTP_OK)
            expectThat(d.cancel(entry, "00000000000000a1")).isEqualTo(SchedulerDeployment.HTTP_OK)
            awaitCondition("the second job completes") { d.jobState(entry, "00000000000000a2") == "completed" }
            awaitCondition("the first job is cancelled") { d.jobState(entry, "00000000000000a1") == "cancelled" }
        }
    }
}
