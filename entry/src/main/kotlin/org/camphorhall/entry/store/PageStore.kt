package org.camphorhall.entry.store

import arrow.core.Either
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.collections.immutable.toPersistentHashMap
import org.camphorhall.core.account.Counts
import org.camphorhall.core.shard.JobPage
import org.camphorhall.core.shard.KeyPage
import org.camphorhall.core.shard.PageCall
import org.camphorhall.core.shard.PageEvent
import org.camphorhall.platform.store.KeyValueStore
import org.camphorhall.platform.store.StoreError

private val logger = KotlinLogging.logger {}

/** Reads and writes one page of type [P]; [empty] stands for a page that does not exist. */
internal class PageStore<P>(
    private val store: KeyValueStore,
    private val key: String,
    private val empty: P,
    private val encode: (PageCall.Write<P>) -> String,
    private val decode: (ByteArray) -> Either<String, Content<P>>,
) {
    /** A decoded page with the epoch and token of its last write. */
    class Content<P>(val epoch: Long, val token: String, val page: P)

    /** Performs [call] and returns its result. */
    suspend fun perform(call: PageCall<P>): PageEvent<P> = when (call) {
        PageCall.Read -> read()
        is PageCall.Write -> write(call)
    }

    private suspend fun read(): PageEvent<P> = store.get(key).fold({ PageEvent.ReadFailed }) { e ->
        if (e == null) return PageEvent.Read(0, 0, "", empty)
        decode(e.value).fold(
            { error ->
                logger.error { "cannot decode page $key: $error" }
                PageEvent.ReadFailed
            },
            { PageEvent.Read(e.version, it.epoch, it.token, it.page) },
        )
    }

    private suspend fun write(call: PageCall.Write<P>): PageEvent<P> =
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
internal fun jobPages(store: KeyValueStore, shard: Int): PageStore<JobPage> = PageStore(
    store,
    StoreKeys.jobs(shard),
    JobPage(),
    { content ->
        val jobs = content.page.jobs.values.toList()
        val stored = StoredJobPage(content.epoch, content.token, jobs, content.page.counts.entries())
        recordJson.encodeToString(StoredJobPage.serializer(), stored)
    },
    { bytes ->
        recordDecoder.decode(StoredJobPage.serializer(), bytes).map { stored ->
            val page = JobPage(stored.jobs.associateBy { it.id }.toPersistentHashMap(), Counts.of(stored.counts))
            PageStore.Content(stored.epoch, stored.token, page)
        }
    },
)

/** Creates the store of the key page of [shard]. */
internal fun keyPages(store: KeyValueStore, shard: Int): PageStore<KeyPage> = PageStore(
    store,
    StoreKeys.keys(shard),
    KeyPage(),
    { content ->
        val stored = StoredKeyPage(content.epoch, content.token, content.page.keys.values.toList())
        recordJson.encodeToString(StoredKeyPage.serializer(), stored)
    },
    { bytes ->
        recordDecoder.decode(StoredKeyPage.serializer(), bytes).map { stored ->
            val page = KeyPage(stored.keys.associateBy { it.key }.toPersistentHashMap())
            PageStore.Content(stored.epoch, stored.token, page)
        }
    },
)
