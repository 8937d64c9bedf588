package org.camphorhall.scheduler.owner

import kotlinx.coroutines.runBlocking
import kotlinx.serialization.KSerializer
import org.camphorhall.core.jobs.JobClass
import org.camphorhall.core.jobs.JobPhase
import org.camphorhall.core.jobs.JobRecord
import org.camphorhall.core.jobs.JobSpec
import org.camphorhall.core.jobs.ProgressRecord
import org.camphorhall.core.jobs.StepSpec
import org.camphorhall.core.model.Resources
import org.camphorhall.platform.store.StoreTransaction
import org.camphorhall.scheduler.protocol.documentJson
import org.camphorhall.scheduler.support.ShardKeys
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo

internal class ShardStoreTest {
    private val keys = ShardKeys(0)
    private val store = InMemoryTransactionalStore()
    private val records = ShardStore(store, keys)

    private fun job(id: String) = JobRecord(
        id,
        JobSpec("payload", listOf(StepSpec(1, Resources(1_000, 100), 1_000))),
        JobClass("class", "service", 0, maxAttempts = 2, 1.5, 250, 3_000),
        acceptedAtMillis = 0,
    )

    private suspend fun <T> put(key: String, type: KSerializer<T>, value: T) {
        val bytes = documentJson.encodeToString(type, value).encodeToByteArray()
        store.commit(StoreTransaction(writes = listOf(StoreTransaction.Write(key, bytes))))
    }

    /** Guards against a finished job that expires after it was listed, and then runs again as a new one. */
    @Test
    fun `only unfinished jobs are accepted from a list`(): Unit = runBlocking {
        val phases = mapOf("a" to null, "b" to JobPhase.Running, "c" to JobPhase.Completed, "d" to JobPhase.Cancelled)
        for ((id, phase) in phases) {
            put(keys.job(id), JobRecord.serializer(), job(id))
            if (phase != null) put(keys.progress(id), ProgressRecord.serializer(), ProgressRecord(phase))
        }
        val listed = checkNotNull(records.load().getOrNull())
        expectThat(listed.unfinishedJobs.map { it.record.id }).containsExactly("a", "b")
    }

    /** Guards against a shard whose record does not show that an earlier owner left attempts of ended jobs running. */
    @Test
    fun `ended jobs with assigned attempts are counted`(): Unit = runBlocking {
        val progress = mapOf(
            "a" to null,
            "b" to ProgressRecord(JobPhase.Running, listOf("w"), listOf("0,0,0,1,0,0,0,")),
            "c" to ProgressRecord(JobPhase.Cancelled, listOf("w"), listOf("0,0,0,1,0,0,0,")),
            "d" to ProgressRecord(JobPhase.Cancelled, emptyList(), listOf("0,0,0,1,0,0,-1,")),
            "e" to ProgressRecord(JobPhase.Failed, listOf("w", "v"), listOf("0,0,0,1,0,0,0,", "0,0,1,1,0,0,1,")),
            "f" to ProgressRecord(JobPhase.Completed),
        )
        for ((id, record) in progress) {
            put(keys.job(id), JobRecord.serializer(), job(id))
            if (record != null) put(keys.progress(id), ProgressRecord.serializer(), record)
        }
        expectThat(checkNotNull(records.load().getOrNull()).endedJobsWithAttempts).isEqualTo(2)
    }
}
