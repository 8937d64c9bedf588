package org.camphorhall.scheduler.owner

import arrow.core.Either
import kotlinx.coroutines.runBlocking
import org.camphorhall.core.jobs.JobClass
import org.camphorhall.core.jobs.JobPhase
import org.camphorhall.core.jobs.JobRecord
import org.camphorhall.core.jobs.JobSpec
import org.camphorhall.core.jobs.ProgressRecord
import org.camphorhall.core.jobs.StepSpec
import org.camphorhall.core.model.Resources
import org.camphorhall.platform.store.StoreChanges
import org.camphorhall.platform.store.StoreError
import org.camphorhall.platform.store.StoreTransaction
import org.camphorhall.platform.store.TransactionalStore
import org.camphorhall.scheduler.protocol.documentJson
import org.camphorhall.scheduler.support.JobRecordStore
import org.camphorhall.scheduler.support.ShardKeys
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull

/** Records that change while an owner loads its shard: the lists are not one snapshot. */
internal class ChangingInboxTest {
    /** Invokes [beforeList] before and [afterList] after each list, with its prefix. */
    private class ChangingStore(private val store: TransactionalStore) : TransactionalStore by store {
        var beforeList: suspend (String) -> Unit = {}
        var afterList: suspend (String) -> Unit = {}

        override suspend fun list(prefix: String): Either<StoreError, StoreChanges> {
            beforeList(prefix)
            return store.list(prefix).also { afterList(prefix) }
        }
    }

    private val keys = ShardKeys(0)
    private val store = InMemoryTransactionalStore()
    private val changing = ChangingStore(store)
    private val records = ShardStore(changing, keys)
    private val writer = JobRecordStore(store, shards = 1)

    /** Guards against a job or a cancellation that neither the list nor the watch after it shows. */
    @Test
    fun `what is stored after the list is in the watch that follows`(): Unit = runBlocking {
        writer.store(job("a"))
        changing.afterList = { prefix ->
            if (prefix == keys.inboxPrefix) {
                writer.store(job("b"))
                writer.storeCancellation("a")
            }
        }
        val loaded = checkNotNull(records.load().getOrNull())
        expectThat(loaded.jobs.map { it.record.id to it.cancelled }).containsExactly("a" to false)
        val change = checkNotNull(records.awaitInboxChange(loaded.revision).getOrNull())
        expectThat(change.jobs.map { it.record.id }).containsExactly("b")
        expectThat(change.cancelled).containsExactly("a")
    }

    /** Guards against a job that runs again because its end is deleted, or its progress stored, between two lists. */
    @Test
    fun `a finished job whose records are deleted meanwhile is not unfinished`(): Unit = runBlocking {
        for (id in listOf("a", "b")) {
            writer.store(job(id))
            val progress = documentJson.encodeToString(ProgressRecord.serializer(), ProgressRecord(JobPhase.Completed))
            store.put(keys.progress(id), progress.encodeToByteArray(), 0)
        }
        val deletions = mapOf(keys.progressPrefix to "a", keys.inboxPrefix to "b")
        changing.beforeList = { prefix ->
            val id = deletions.getValue(prefix)
            store.commit(StoreTransaction(deletes = listOf(keys.job(id), keys.cancellation(id), keys.progress(id))))
        }
        val loaded = expectThat(records.load().getOrNull()).isNotNull().subject
        expectThat(loaded.unfinishedJobs.map { it.record.id }).isEqualTo(emptyList())
    }

    private fun job(id: String) = JobRecord(
        id,
        JobSpec("payload", listOf(StepSpec(1, Resources(1_000, 100)))),
        JobClass("class", "service", 0, maxAttempts = 2, 1.5, 250, 3_000),
        acceptedAtMillis = 0,
    )
}
