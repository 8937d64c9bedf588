package org.camphorhall.core.shard

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import org.camphorhall.core.model.MonotonicInstant
import kotlin.time.Duration

/**
 * Group commit of a page with content [B]: changes accumulate while one write is in flight, and effects [E] that depend
 * on a change are released once it is durable. If the response to a write is lost, the page is read back and the write
 * is identified by its token.
 */
public data class GroupCommit<B, E>(
    val epoch: Long,
    /** Prefix of the writer's tokens, unique to the process and the epoch. */
    val writer: String,
    val current: B,
    val durable: B,
    val version: Long = 0,
    /** Whether the stored page has this owner's epoch, which fences off writes of earlier owners. */
    val established: Boolean = false,
    val dirty: Boolean = false,
    val pendingEffects: PersistentList<E> = persistentListOf(),
    val inFlight: InFlightWrite<B, E>? = null,
    /** Whether the page must be read before the next write. */
    val readRequired: Boolean = true,
    val callInProgress: Boolean = false,
    val nextCallAt: MonotonicInstant = MonotonicInstant(Long.MIN_VALUE / 2),
    val writeCount: Long = 0,
    /** Time of the first failed store call since the last successful write; null if there was none. */
    val failingSince: MonotonicInstant? = null,
) {
    /** Replaces the current content with [page]; [effects] are released once the change is durable. */
    public fun change(page: B, effects: List<E> = emptyList()): GroupCommit<B, E> =
        copy(current = page, dirty = true, pendingEffects = pendingEffects.addAll(effects))

    /** Returns the next store call, or null if none is due. */
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

    /** Handles a response of the store. */
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
            // An earlier call with this token may still take effect, so the same write is retried.
            inFlight.inDoubt ->
                CommitResult(markFailing(now).copy(callInProgress = false, nextCallAt = now + retryDelay))
            else -> CommitResult(requeueInFlight(now, now + retryDelay), notCommitted = true)
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
            // First read of this owner: adopts the page of the earlier owner, then overwrites it to fence that owner.
            !established -> CommitResult(
                base.copy(version = e.version, current = e.page, durable = e.page, dirty = true, inFlight = null),
            )
            // The write has not taken effect yet. It is retried with the same version, so that at most one of the two
            // calls succeeds.
            e.version == version -> CommitResult(base)
            else -> CommitResult(base, ownershipLost = true)
        }
    }

    private fun written(v: Long, next: MonotonicInstant): CommitResult<B, E> {
        val committed = checkNotNull(inFlight)
        return CommitResult(
            copy(
                durable = committed.page,
                version = v,
                established = true,
                inFlight = null,
                callInProgress = false,
                nextCallAt = next,
                failingSince = null,
            ),
            released = committed.effects,
        )
    }

    private fun requeueInFlight(now: MonotonicInstant, next: MonotonicInstant): GroupCommit<B, E> {
        val rejected = checkNotNull(inFlight)
        return markFailing(now).copy(
            inFlight = null,
            callInProgress = false,
            dirty = true,
            pendingEffects = pendingEffects.addAll(0, rejected.effects),
            nextCallAt = next,
        )
    }

    private fun markFailing(now: MonotonicInstant) = copy(failingSince = failingSince ?: now)
}

/** A write that is in flight or in doubt. */
public data class InFlightWrite<B, E>(
    val epoch: Long,
    val token: String,
    val page: B,
    val effects: PersistentList<E>,
    /** Whether a call with [token] got no response, so that the write may take effect at any time. */
    val inDoubt: Boolean = false,
) {
    internal fun toCall(version: Long): PageCall.Write<B> = PageCall.Write(version, epoch, token, page)
}
