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
import org.camphorhall.scheduler.owner.ShardOwnerRecord
import org.camphorhall.scheduler.owner.decodeOwner
import org.camphorhall.scheduler.owner.findOwner
import kotlin.time.Duration.Companion.milliseconds

private val logger = KotlinLogging.logger {}

/** Tracks the newest owner of a shard. */
internal class OwnerFinder(
    private val store: TransactionalStore,
    private val keys: ShardKeys,
) {
    private val refreshRequests = Channel<Unit>(Channel.CONFLATED)

    private val odd = LogLimit(SystemClock)

    /** Owner with the greatest epoch found so far; null until the first one is found. */
    @Volatile
    var owner: ShardOwnerRecord? = null
        private set

    /** Requests an early lookup, because the current owner is unknown or did not respond. */
    fun requestRefresh() {
        refreshRequests.trySend(Unit)
    }

    /** Reads the owner record once; the read may be seconds stale. Returns true only if the read shows no owner. */
    suspend fun isUnowned(): Boolean = findOwner(store, keys).fold(
        // A failed read does not show that the shard is unowned.
        { false },
        { found -> found.also(::update) == null },
    )

    /** Sets the owner to [found], unless the current one is at least as new. */
    fun update(found: ShardOwnerRecord?) {
        val current = owner
        if (found == null || current != null && found.epoch <= current.epoch) return
        if (!found.isUsable) {
            odd.log { logger.event(Level.WARN, "odd owner record ignored", "record" to found, "suppressed" to it) }
            return
        }
        owner = found
        logger.event(Level.INFO, "owner found", "owner" to found.instance, "epoch" to found.epoch)
    }

    /** Looks up the owner until cancelled. */
    suspend fun run() {
        update(findOwner(store, keys).getOrNull())
        while (true) {
            val period = if (owner == null) SEARCH_PERIOD else PERIOD
            val isRefreshRequested = withTimeoutOrNull(period) { refreshRequests.receive() } != null
            if (isRefreshRequested) readCurrent() else update(findOwner(store, keys).getOrNull())
            if (isRefreshRequested) delay(SEARCH_PERIOD)
        }
    }

    private suspend fun readCurrent() {
        val entry = store.get(keys.owner).getOrElse { return } ?: return
        update(decodeOwner(entry.value).getOrNull())
    }

    private companion object {
        /** Period of the stale reads, which are cheap, while an owner is known. */
        val PERIOD = 1_000.milliseconds

        /** Period of the reads while no owner is known or a refresh was requested. */
        val SEARCH_PERIOD = 200.milliseconds
    }
}
