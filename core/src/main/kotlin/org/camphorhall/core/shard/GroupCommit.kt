package org.camphorhall.core.shard

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import org.camphorhall.core.model.MonotonicInstant
import kotlin.time.Duration

/**
 * Writes a page with content [B] in groups: changes collect while one write is under way, and effects [E] that depend
 * on a change are released once it is durable. A write whose answer was lost is read back and recognised by its token.
 */
public data class GroupCommit<B, E>(
    val epoch: Long,
    /** Prefix of the writer's tokens, unique to the process and the epoch. */
    val writer: String,
    val current: B,
    val durable: B,
    val version: Long = 0,
    /** Whether this owner's epoch is in the page, so that no earlier owner can write any more. */
    val established: Boolean = false,
    val dirty: Boolean = false,
    val pendingEffects: PersistentList<E> = persistentListOf(),
    val inFlight: InFlightWrite<B, E>? = null,
    /** Whether the page must be read before the next write. */
    val readRequired: Boolean = true,
    val callInProgress: Boolean = false,
    val nextCallAt: MonotonicInstant = MonotonicInstant(Long.MIN_VALUE / 2),
    val writeCount: Long = 0,
    /** Moment of the first of the failures since the last success. */
    val failingSince: MonotonicInstant? = null,
) {
    /** Applies a change whose [effects] wait until it is durable. */
    public fun change(page: B, effects: List<E> = emptyList()): GroupCommit<B, E> =
        copy(current = page, dirty = true, pendingEffects = pendingEffects.addAll(effects))

    /** Returns the next call to the store, if one is due. */
    public fun poll(now: MonotonicInstant): Pair<GroupCommit<B, E>, PageCall<B>?> = when {
        callInProgress || now < nextCallAt -> this to null
        readRequired -> copy(callInProgress = true) to PageCall.Read
        inFlight != null -> copy(callInProgress = true) to inFlight.toCall(version)
        dirty -> {
            val next = InFlightWrite(epoch, "$writer/$epoch/${writeCount + 1}", current, pendingEffects)
            copy(
                inFlight = next,
                callInProgress = true,
                dirty = false,
                pendingEffects = persistentListOf(),
                writeCount = writeCount + 1,
            ) to next.toCall(version)
        }
        else -> this to null
    }

    /** Handles the answer of the store. */
    public fun handle(
        event: PageEvent<B>,
        now: MonotonicInstant,
        writeInterval: Duration,
        retryDelay: Duration,
    ): CommitResult<B, E> = when (event) {
        is PageEvent.Written -> when (event.token) {
            inFlight?.token -> written(event.version, now + writeInterval)
            else -> CommitResult(this)
        }
        is PageEvent.NotWritten -> when {
            event.token != inFlight?.token -> CommitResult(this)
            // An earlier call with the token may still take effect, so the same write is repeated.
            inFlight.inDoubt ->
                CommitResult(markFailing(now).copy(callInProgress = false, nextCallAt = now + retryDelay))
            else -> CommitResult(rolledBack(now, now + retryDelay), notCommitted = true)
        }
        is PageEvent.InDoubt -> when (event.token) {
            inFlight?.token -> CommitResult(
                markFailing(now).copy(
                    readRequired = true,
                    callInProgress = false,
                    nextCallAt = now,
                    inFlight = inFlight.copy(inDoubt = true),
                ),
            )
            else -> CommitResult(this)
        }
        PageEvent.ReadFailed ->
            CommitResult(markFailing(now).copy(callInProgress = false, nextCallAt = now + retryDelay))
        is PageEvent.Read -> read(event, now + writeInterval)
    }

    private fun read(e: PageEvent.Read<B>, next: MonotonicInstant): CommitResult<B, E> {
        val base = copy(readRequired = false, callInProgress = false)
        return when {
            e.epoch > epoch -> CommitResult(base, ownershipLost = true)
            inFlight != null && e.token == inFlight.token -> base.written(e.version, next)
            // The first write of this owner: take what the earlier owner wrote last, and fence it by writing over it.
            !established -> CommitResult(
                base.copy(version = e.version, current = e.page, durable = e.page, dirty = true, inFlight = null),
            )
            // The write is not there yet. The same write with the same version is repeated, so a late effect is
            // harmless.
            e.version == version -> CommitResult(base)
            else -> CommitResult(base, ownershipLost = true)
        }
    }

    private fun written(v: Long, next: MonotonicInstant): CommitResult<B, E> {
        val done = checkNotNull(inFlight)
        return CommitResult(
            copy(
                durable = done.page,
                version = v,
                established = true,
                inFlight = null,
                callInProgress = false,
                nextCallAt = next,
                failingSince = null,
            ),
            released = done.effects,
        )
    }

    private fun rolledBack(now: MonotonicInstant, next: MonotonicInstant): GroupCommit<B, E> {
        val back = checkNotNull(inFlight)
        return markFailing(now).copy(
            inFlight = null,
            callInProgress = false,
            dirty = true,
            pendingEffects = pendingEffects.addAll(0, back.effects),
            nextCallAt = next,
        )
    }

    private fun markFailing(now: MonotonicInstant) = copy(failingSince = failingSince ?: now)
}

/** A write under way or in doubt. */
public data class InFlightWrite<B, E>(
    val epoch: Long,
    val token: String,
    val page: B,
    val effects: PersistentList<E>,
    /** Whether a call with the token had no answer, so that the write may take effect at any time. */
    val inDoubt: Boolean = false,
) {
    internal fun toCall(version: Long): PageCall.Write<B> = PageCall.Write(version, epoch, token, page)
}
