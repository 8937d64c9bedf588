package org.camphorhall.scheduler.support

import arrow.core.Either
import arrow.core.getOrElse
import io.github.oshai.kotlinlogging.KotlinLogging
import io.github.oshai.kotlinlogging.Level
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import org.camphorhall.platform.store.TransactionalStore
import org.camphorhall.process.event
import org.camphorhall.scheduler.owner.OwnerRecord
import org.camphorhall.scheduler.owner.decodeOwner
import org.camphorhall.scheduler.owner.findOwner
import kotlin.time.Duration.Companion.milliseconds

private val logger = KotlinLogging.logger {}

/** Knows the newest owner of a shard. */
internal class OwnerFinder(
    private val store: TransactionalStore,
    private val keys: ShardKeys,
) {
    private val refreshRequests = Channel<Unit>(Channel.CONFLATED)

    /** The owner with the greatest epoch that was seen; null before the first one. */
    @Volatile
    var owner: OwnerRecord? = null
        private set

    /** Looks for a new owner soon, because the known one did not answer. */
    fun requestRefresh() {
        refreshRequests.trySend(Unit)
    }

    /** Reads the owner's record once, from a reading that may be seconds old. Returns whether there surely is none. */
    suspend fun isUnowned(): Boolean = findOwner(store, keys).fold(
        // An unreadable store shows nothing.
        { false },
        { found -> found.also(::update) == null },
    )

    /** Takes the record [found], unless a newer one is known. */
    fun update(found: OwnerRecord?) {
        val current = owner
        if (found == null || current != null && found.epoch <= current.epoch) return
        owner = found
        logger.event(Level.INFO, "owner found", "owner" to found.instance, "epoch" to found.epoch)
    }

    /** Looks for the owner for as long as the caller runs. */
    suspend fun run() {
        while (true) {
            val isRefreshRequested = withTimeoutOrNull(if (owner == null) SEARCH_PERIOD else PERIOD) { refreshRequests.receive() } != null
            if (isRefreshRequested) readCurrent() else update(findOwner(store, keys).getOrNull())
            if (isRefreshRequested) delay(SEARCH_PERIOD)
        }
    }

    private suspend fun readCurrent() {
        val entry = store.get(keys.owner).getOrElse { return } ?: return
        update(decodeOwner(entry.value).getOrNull())
    }

    private companion object {
        /** Between two cheap reads while an owner is known. */
        val PERIOD = 1_000.milliseconds

        /** Between two reads while none is known or it is in doubt. */
        val SEARCH_PERIOD = 200.milliseconds
    }
}
