package org.camphorhall.entry.account

import kotlinx.coroutines.delay
import org.camphorhall.core.account.Counts
import org.camphorhall.core.model.ClassName
import org.camphorhall.entry.store.AccountPage
import org.camphorhall.entry.store.StoreKeys
import org.camphorhall.entry.store.recordJson
import org.camphorhall.platform.store.KeyValueStore
import org.camphorhall.platform.store.StoreError
import java.util.concurrent.atomic.AtomicReference
import kotlin.time.Duration.Companion.seconds

/** Counts the requests of this entry by class, outcome and reason, and stores them periodically. */
internal class RequestAccounting(
    private val entry: String,
    private val store: KeyValueStore,
    private val wallMillis: () -> Long,
) {
    private val counts = AtomicReference(Counts())
    private val startedMillis = wallMillis()
    private var version = 0L
    private var flushed: Counts? = null

    /** Counts one request. */
    fun add(className: ClassName, outcome: String, reason: String) {
        counts.updateAndGet { it.add(className, outcome, reason) }
    }

    /** Returns the counts since the start of the entry. */
    fun page(closed: Boolean = false): AccountPage =
        AccountPage(entry, startedMillis, wallMillis(), closed, counts.get().entries())

    suspend fun run() {
        while (true) {
            flush(closed = false)
            delay(FLUSH_INTERVAL)
        }
    }

    /**
     * Stores the counts if they changed. Only this entry writes its page, so a version conflict comes from an earlier
     * write of its own whose response was lost.
     */
    suspend fun flush(closed: Boolean) {
        val current = counts.get()
        if (current == flushed && !closed) return
        val body = recordJson.encodeToString(AccountPage.serializer(), page(closed)).encodeToByteArray()
        store.put(StoreKeys.account(entry), body, version).fold({ e ->
            if (e is StoreError.VersionMismatch) version = e.current
        }) {
            version = it
            flushed = current
        }
    }

    private companion object {
        val FLUSH_INTERVAL = 2.seconds
    }
}
