package org.camphorhall.core.shard

import kotlinx.collections.immutable.toPersistentList
import org.camphorhall.core.model.ClockReading
import org.camphorhall.core.model.Reason
import org.camphorhall.core.model.Transition

internal class RealKeyShardMachine(private val settings: ShardSettings) : KeyShardMachine {
    override fun step(
        state: KeyShardState,
        event: KeyShardEvent,
        now: ClockReading,
    ): Transition<KeyShardState, KeyShardAction> {
        val s = KeyShardStep(state, now, settings)
        when (event) {
            is KeyShardEvent.Claim -> s.claim(event)
            is KeyShardEvent.Settle -> s.settle(event)
            is KeyShardEvent.PageResponse -> s.handlePageResponse(event.event)
            KeyShardEvent.Tick -> s.tick()
        }
        s.poll()
        return Transition(s.state, s.actions)
    }
}

private class KeyShardStep(
    var state: KeyShardState,
    val now: ClockReading,
    val settings: ShardSettings,
) {
    val actions: MutableList<KeyShardAction> = mutableListOf()

    private val page: KeyPage get() = state.commit.current

    fun poll() {
        if (state.ownershipLost) return
        val (next, call) = state.commit.poll(now.mono)
        state = state.copy(commit = next)
        if (call != null) actions += KeyShardAction.CallStore(call)
    }

    fun claim(e: KeyShardEvent.Claim) {
        val existing = page.keys[e.key]
        when {
            state.ownershipLost -> reject(e.correlationId, Reason.ShardMoved)
            !state.ready -> reject(e.correlationId, Reason.StoreUnavailable)
            existing != null -> respondToExistingKey(e, existing)
            state.commit.failingSince != null -> reject(e.correlationId, Reason.StoreUnavailable)
            page.keys.size >= settings.maxKeys -> reject(e.correlationId, Reason.KeyHistoryFull)
            else -> {
                val record = KeyRecord(e.key, e.claimant, now.wallMillis, e.deadlineMillis)
                change(KeyPage(page.keys.put(e.key, record)), PendingKeyClaim(e.correlationId, e.key, now.mono))
            }
        }
    }

    private fun respondToExistingKey(e: KeyShardEvent.Claim, existing: KeyRecord) {
        if (
            existing.outcome == null && existing.claimant == e.claimant && state.commit.durable.keys[e.key] != existing
        ) {
            // A repeated claim is granted once the first one is durable.
            change(page, PendingKeyClaim(e.correlationId, e.key, now.mono))
            return
        }
        actions += when {
            existing.outcome != null -> KeyShardAction.Recorded(e.correlationId, existing)
            existing.claimant == e.claimant -> KeyShardAction.Granted(e.correlationId)
            now.wallMillis < existing.deadlineMillis + SETTLEMENT_GRACE_MILLIS ->
                KeyShardAction.AlreadyClaimed(e.correlationId, Reason.KeyInProgress)
            else -> KeyShardAction.AlreadyClaimed(e.correlationId, Reason.KeyOutcomeUnknown)
        }
    }

    fun settle(e: KeyShardEvent.Settle) {
        val existing = page.keys[e.key] ?: return
        if (state.ownershipLost || existing.claimant != e.claimant || existing.outcome != null) return
        val keys = if (e.outcome == NOT_RUN) {
            page.keys.remove(e.key)
        } else {
            page.keys.put(e.key, existing.copy(outcome = e.outcome, reason = e.reason, body = e.body))
        }
        change(KeyPage(keys))
    }

    fun handlePageResponse(event: PageEvent<KeyPage>) {
        val r = state.commit.handle(event, now.mono, settings.writeInterval, settings.storeRetryDelay)
        state = state.copy(commit = r.commit)
        if (r.ownershipLost) {
            val pending = state.commit.pendingEffects + state.commit.inFlight?.effects.orEmpty()
            pending.forEach { reject(it.correlationId, Reason.ShardMoved) }
            state = state.copy(ownershipLost = true)
            actions += KeyShardAction.OwnershipLost
            return
        }
        r.released.forEach { actions += KeyShardAction.Granted(it.correlationId) }
        grantDurableClaims()
        if (r.notCommitted) rejectClaims { true }
    }

    /** Grants repeated claims of durable keys. Rejecting them would release a key whose first claim was granted. */
    private fun grantDurableClaims() {
        val durable = state.commit.durable.keys
        val (ready, rest) =
            state.commit.pendingEffects.partition { it.key in durable && durable[it.key] == page.keys[it.key] }
        ready.forEach { actions += KeyShardAction.Granted(it.correlationId) }
        state = state.copy(commit = state.commit.copy(pendingEffects = rest.toPersistentList()))
    }

    fun tick() {
        if (state.commit.failingSince != null) {
            rejectClaims { now.mono - it.requestedAt >= settings.commitTimeout }
        }
        if (!state.ready || (now.mono - state.lastCleanupAt).inWholeMilliseconds < CLEANUP_INTERVAL_MILLIS) return
        state = state.copy(lastCleanupAt = now.mono)
        val limit = now.wallMillis - settings.keyRetention.inWholeMilliseconds
        val old = page.keys.values.filter { it.claimedMillis < limit }.map { it.key }
        if (old.isNotEmpty()) change(KeyPage(old.fold(page.keys) { m, k -> m.remove(k) }))
    }

    /** Rejects pending claims and releases their keys. A request is only dispatched after its claim is granted. */
    private fun rejectClaims(select: (PendingKeyClaim) -> Boolean) {
        val commit = state.commit
        val inFlight = commit.inFlight
        val pending = commit.pendingEffects + inFlight?.effects.orEmpty()
        val rejectedKeys = pending.filter(select).map { it.key }.toSet()
        if (rejectedKeys.isEmpty()) return
        // All claims of a key are rejected together: none may be granted once the key is released.
        val rejected = pending.filter { it.key in rejectedKeys }
        rejected.forEach { reject(it.correlationId, Reason.StoreUnavailable) }
        val rest = inFlight?.copy(effects = inFlight.effects.filterNot { it.key in rejectedKeys }.toPersistentList())
        val pendingEffects = commit.pendingEffects.filterNot { it.key in rejectedKeys }.toPersistentList()
        val keys = rejectedKeys.fold(page.keys) { m, k -> m.remove(k) }
        state = state.copy(commit = commit.copy(pendingEffects = pendingEffects, inFlight = rest).change(KeyPage(keys)))
    }

    private fun change(page: KeyPage, vararg effects: PendingKeyClaim) {
        state = state.copy(commit = state.commit.change(page, effects.toList()))
    }

    private fun reject(correlationId: Long, reason: Reason) {
        actions += KeyShardAction.Rejected(correlationId, reason)
    }

    private companion object {
        const val NOT_RUN = "not-run"

        /** Time after the deadline of a request within which its claimant still reports the outcome. */
        const val SETTLEMENT_GRACE_MILLIS = 2_000L
        const val CLEANUP_INTERVAL_MILLIS = 60_000L
    }
}
