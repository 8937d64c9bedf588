package org.camphorhall.entry.store

import kotlinx.collections.immutable.toPersistentHashMap
import org.camphorhall.core.account.Counts
import org.camphorhall.core.shard.PageCall
import org.camphorhall.core.shard.PageEvent
import org.camphorhall.platform.store.KeyValueStore
import org.camphorhall.platform.store.StoreError
import org.camphorhall.core.shard.JobPage as JobPageContent
import org.camphorhall.core.shard.KeyPage as KeyPageContent

/** Reads and writes one page with content [B]. */
internal class PageStore<B>(
    private val store: KeyValueStore,
    private val key: String,
    private val empty: B,
    private val encode: (PageCall.Write<B>) -> String,
    private val decode: (String) -> Content<B>,
) {
    /** Decoded page. */
    class Content<B>(val epoch: Long, val token: String, val book: B)

    /** Carries out [call] and returns what the store said. */
    suspend fun perform(call: PageCall<B>): PageEvent<B> = when (call) {
        PageCall.Read -> read()
        is PageCall.Write -> write(call)
    }

    private suspend fun read(): PageEvent<B> = store.get(key).fold({ PageEvent.ReadFailed }) { e ->
        if (e == null) return PageEvent.Read(0, 0, "", empty)
        val c = decode(e.value.decodeToString())
        PageEvent.Read(e.version, c.epoch, c.token, c.book)
    }

    private suspend fun write(call: PageCall.Write<B>): PageEvent<B> =
        store.put(key, encode(call).encodeToByteArray(), call.expected).fold({ e ->
            when (e) {
                is StoreError.VersionMismatch, is StoreError.Conflict, is StoreError.Uncertain ->
                    PageEvent.InDoubt(call.token)
                is StoreError.Unavailable, StoreError.LeaseExpired, StoreError.HistoryLost ->
                    PageEvent.NotWritten(call.token)
            }
        }) { PageEvent.Written(call.token, it) }
}

/** Creates the store of the job page of [shard]. */
internal fun jobPages(store: KeyValueStore, shard: Int): PageStore<JobPageContent> = PageStore(
    store,
    StoreKeys.jobs(shard),
    JobPageContent(),
    { c ->
        val page = JobPage(c.epoch, c.token, c.page.jobs.values.toList(), c.page.counts.entries())
        recordJson.encodeToString(JobPage.serializer(), page)
    },
    { text ->
        val p = recordJson.decodeFromString(JobPage.serializer(), text)
        val book = JobPageContent(p.jobs.associateBy { it.id }.toPersistentHashMap(), Counts.of(p.counts))
        PageStore.Content(p.epoch, p.token, book)
    },
)

/** Creates the store of the key page of [shard]. */
internal fun keyPages(store: KeyValueStore, shard: Int): PageStore<KeyPageContent> = PageStore(
    store,
    StoreKeys.keys(shard),
    KeyPageContent(),
    { c -> recordJson.encodeToString(KeyPage.serializer(), KeyPage(c.epoch, c.token, c.page.keys.values.toList())) },
    { text ->
        val p = recordJson.decodeFromString(KeyPage.serializer(), text)
        PageStore.Content(p.epoch, p.token, KeyPageContent(p.keys.associateBy { it.key }.toPersistentHashMap()))
    },
)
