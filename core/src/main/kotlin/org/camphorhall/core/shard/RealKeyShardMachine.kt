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
            is KeyShardEvent.Page -> s.pageEvent(event.event)
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

    private val book: KeyBook get() = state.commit.current

    fun poll() {
        if (state.lost) return
        val (next, call) = state.commit.poll(now.mono)
        state = state.copy(commit = next)
        if (call != null) actions += KeyShardAction.Store(call)
    }

    fun claim(e: KeyShardEvent.Claim) {
        val known = book.keys[e.key]
        when {
            state.lost -> refuse(e.reply, Reason.ShardMoved)
            !state.ready -> refuse(e.reply, Reason.StoreUnavailable)
            known != null -> answerKnown(e, known)
            state.commit.failingSince != null -> refuse(e.reply, Reason.StoreUnavailable)
            book.keys.size >= settings.maxKeys -> refuse(e.reply, Reason.KeyHistoryFull)
            else -> {
                val record = KeyRecord(e.key, e.claimant, now.wallMillis, e.deadlineMillis)
                change(KeyBook(book.keys.put(e.key, record)), KeyEffect(e.reply, e.key, now.mono))
            }
        }
    }

    private fun answerKnown(e: KeyShardEvent.Claim, known: KeyRecord) {
        if (known.outcome == null && known.claimant == e.claimant && state.commit.durable.keys[e.key] != known) {
            // The same claim again; it is granted when the first one is durable.
            change(book, KeyEffect(e.reply, e.key, now.mono))
            return
        }
        actions += when {
            known.outcome != null -> KeyShardAction.Recorded(e.reply, known)
            known.claimant == e.claimant -> KeyShardAction.Granted(e.reply)
            now.wallMillis < known.deadlineMillis + SETTLE_MILLIS ->
                KeyShardAction.Taken(e.reply, Reason.KeyInProgress)
            else -> KeyShardAction.Taken(e.reply, Reason.KeyOutcomeUnknown)
        }
    }

    fun settle(e: KeyShardEvent.Settle) {
        val known = book.keys[e.key] ?: return
        if (state.lost || known.claimant != e.claimant || known.outcome != null) return
        val keys = if (e.outcome == NOT_RUN) {
            book.keys.remove(e.key)
        } else {
            book.keys.put(e.key, known.copy(outcome = e.outcome, reason = e.reason, body = e.body))
        }
        change(KeyBook(keys))
    }

    fun pageEvent(event: PageEvent<KeyBook>) {
        val r = state.commit.handle(event, now.mono, settings.writeInterval, settings.storeRetry)
        state = state.copy(commit = r.commit)
        if (r.lost) {
            val pending = state.commit.waiting + state.commit.inFlight?.effects.orEmpty()
            pending.forEach { refuse(it.reply, Reason.ShardMoved) }
            state = state.copy(lost = true)
            actions += KeyShardAction.Lost
            return
        }
        r.released.forEach { actions += KeyShardAction.Granted(it.reply) }
        grantDurable()
        if (r.refused) dropClaims { true }
    }

    /** Grants repeated claims whose record has become durable with the first one; they must not free its key. */
    private fun grantDurable() {
        val durable = state.commit.durable.keys
        val (ready, rest) = state.commit.waiting.partition { it.key in durable && durable[it.key] == book.keys[it.key] }
        ready.forEach { actions += KeyShardAction.Granted(it.reply) }
        state = state.copy(commit = state.commit.copy(waiting = rest.toPersistentList()))
    }

    fun tick() {
        if (state.commit.failingSince != null) {
            dropClaims { now.mono - it.since >= settings.commitWait }
        }
        if (!state.ready || (now.mono - state.cleanedAt).inWholeMilliseconds < CLEAN_MILLIS) return
        state = state.copy(cleanedAt = now.mono)
        val limit = now.wallMillis - settings.keyRetention.inWholeMilliseconds
        val old = book.keys.values.filter { it.claimedMillis < limit }.map { it.key }
        if (old.isNotEmpty()) change(KeyBook(old.fold(book.keys) { m, k -> m.remove(k) }))
    }

    /** Refuses pending claims and frees their keys. A claim that was not granted was not dispatched. */
    private fun dropClaims(late: (KeyEffect) -> Boolean) {
        val commit = state.commit
        val flight = commit.inFlight
        val pending = commit.waiting + flight?.effects.orEmpty()
        val lateKeys = pending.filter(late).map { it.key }.toSet()
        if (lateKeys.isEmpty()) return
        // A repeated claim must not be granted after its key is free again.
        val gone = pending.filter { it.key in lateKeys }
        gone.forEach { refuse(it.reply, Reason.StoreUnavailable) }
        val rest = flight?.copy(effects = flight.effects.filterNot { it.key in lateKeys }.toPersistentList())
        val waiting = commit.waiting.filterNot { it.key in lateKeys }.toPersistentList()
        val keys = lateKeys.fold(book.keys) { m, k -> m.remove(k) }
        state = state.copy(commit = commit.copy(waiting = waiting, inFlight = rest).change(KeyBook(keys)))
    }

    private fun change(book: KeyBook, vararg effects: KeyEffect) {
        state = state.copy(commit = state.commit.change(book, effects.toList()))
    }

    private fun refuse(reply: Long, reason: Reason) {
        actions += KeyShardAction.Refused(reply, reason)
    }

    private companion object {
        const val NOT_RUN = "not-run"

        /** Time after the deadline of a request within which its claimant still reports the outcome. */
        const val SETTLE_MILLIS = 2_000L
        const val CLEAN_MILLIS = 60_000L
    }
}
