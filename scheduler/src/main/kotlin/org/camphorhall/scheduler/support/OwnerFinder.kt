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

/** Knows the newest owner of a shard. */
internal class OwnerFinder(
    private val store: TransactionalStore,
    private val keys: ShardKeys,
) {
    private val doubts = Channel<Unit>(Channel.CONFLATED)

    /** The owner with the greatest epoch that was seen; null before the first one. */
    @Volatile
    var owner: ShardOwnerRecord? = null
        private set

    /** Looks for a new owner soon, because the known one did not answer. */
    fun doubt() {
        doubts.trySend(Unit)
    }

    /** Reads the owner's record once, from a reading that may be seconds old. Returns whether there surely is none. */
    suspend fun isFree(): Boolean = findOwner(store, keys).fold(
        // An unreadable store shows nothing.
        { false },
        { found -> found.also(::take) == null },
    )

    /** Takes the record [found], unless a newer one is known. */
    fun take(found: ShardOwnerRecord?) {
        val present = owner
        if (found == null || present != null && found.epoch <= present.epoch) return
        owner = found
        logger.event(Level.INFO, "owner found", "owner" to found.instance, "epoch" to found.epoch)
    }

    /** Looks for the owner for as long as the caller runs. */
    suspend fun run() {
        while (true) {
            val isDoubted = withTimeoutOrNull(if (owner == null) FIRST_PERIOD else PERIOD) { doubts.receive() } != null
            if (isDoubted) readNow() else take(findOwner(store, keys).getOrNull())
            if (isDoubted) delay(FIRST_PERIOD)
        }
    }

    private suspend fun readNow() {
        val entry = store.get(keys.owner).getOrElse { return } ?: return
        take(decodeOwner(entry.value).getOrNull())
    }

    private companion object {
        /** Between two cheap reads while an owner is known. */
        val PERIOD = 1_000.milliseconds

        /** Between two reads while none is known or it is in doubt. */
        val FIRST_PERIOD = 200.milliseconds
    }
}
