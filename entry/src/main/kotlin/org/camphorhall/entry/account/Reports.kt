package org.camphorhall.entry.account

import kotlinx.serialization.Serializable
import org.camphorhall.core.account.CountEntry
import org.camphorhall.core.account.Counts
import org.camphorhall.core.model.ClassName
import org.camphorhall.entry.store.AccountPage
import org.camphorhall.entry.store.StoreKeys
import org.camphorhall.entry.store.StoredJobPage
import org.camphorhall.entry.store.recordDecoder
import org.camphorhall.platform.store.KeyValueStore

/** The outcomes of one class. */
@Serializable
internal data class ClassReport(val `class`: String, val counts: List<OutcomeCount>)

/** Number of occurrences of an outcome with its reason. */
@Serializable
internal data class OutcomeCount(val outcome: String, val reason: String, val count: Long)

/** Counts from [source] that are missing from [sinceMillis] on. */
@Serializable
internal data class MissingCounts(val source: String, val sinceMillis: Long, val detail: String)

/** Outcomes of all classes with their reasons, and the counts that are missing from them. */
@Serializable
internal data class OutcomeReport(val classes: List<ClassReport>, val unknown: List<MissingCounts>)

/** Builds the report from the pages in the store and the current counts [own] of this entry. */
internal suspend fun buildReport(
    store: KeyValueStore,
    shards: Int,
    own: AccountPage,
    liveEntries: Set<String>,
    only: ClassName?,
): OutcomeReport {
    val unknown = mutableListOf<MissingCounts>()
    var counts = Counts.of(own.counts)
    val accounts = store.list(StoreKeys.ACCOUNTS).getOrNull()
    if (accounts == null) {
        unknown += MissingCounts("store", own.flushedMillis, "the counts of other entries cannot be read")
    }
    for (e in accounts?.items.orEmpty()) {
        val page = recordDecoder.decode(AccountPage.serializer(), e.value).getOrNull()
        if (page == null) unknown += MissingCounts(e.key, own.flushedMillis, "the counts cannot be decoded")
        if (page == null || page.entry == own.entry) continue
        counts += Counts.of(page.counts)
        if (!page.closed && page.entry !in liveEntries) {
            val detail = "entry ${page.entry} ended without a graceful stop; later counts of it are not known"
            unknown += MissingCounts(page.entry, page.flushedMillis, detail)
        }
    }
    for (shard in 0 until shards) counts += shardCounts(store, shard, own.flushedMillis, unknown)
    return OutcomeReport(classReports(counts, only), unknown)
}

private suspend fun shardCounts(
    store: KeyValueStore,
    shard: Int,
    nowMillis: Long,
    unknown: MutableList<MissingCounts>,
): Counts = store.get(StoreKeys.jobs(shard)).fold({
    unknown += MissingCounts("shard $shard", nowMillis, "the counts of jobs cannot be read")
    Counts()
}) { e ->
    if (e == null) return Counts()
    recordDecoder.decode(StoredJobPage.serializer(), e.value).fold({
        unknown += MissingCounts("shard $shard", nowMillis, "the counts of jobs cannot be decoded")
        Counts()
    }) { Counts.of(it.counts) }
}

private fun classReports(counts: Counts, only: ClassName?): List<ClassReport> = counts.entries()
    .filter { only == null || it.key.className == only }
    .groupBy { it.key.className }
    .map { (name, list) -> ClassReport(name.value, list.map(::reportCount)) }

private fun reportCount(e: CountEntry) = OutcomeCount(e.key.outcome, e.key.reason, e.count)
