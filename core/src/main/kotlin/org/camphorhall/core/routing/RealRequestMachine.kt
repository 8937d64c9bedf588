package org.camphorhall.core.routing

import org.camphorhall.core.model.MonotonicInstant
import org.camphorhall.core.model.Reason
import org.camphorhall.core.model.RequestOutcome
import org.camphorhall.core.model.Transition
import org.camphorhall.core.model.WorkerId
import org.camphorhall.core.policy.RoutingRequest
import org.camphorhall.core.shard.KeyRecord

internal class RealRequestMachine : RequestMachine {
    override fun step(
        state: RequestState,
        event: RequestEvent,
        now: MonotonicInstant,
        context: RequestContext,
    ): Transition<RequestState, RequestAction> {
        if (state.phase == RequestPhase.Finished) return Transition(state, emptyList())
        val s = RequestStep(state, now, context)
        when (event) {
            RequestEvent.Start -> s.start()
            RequestEvent.KeyGranted -> s.ifClaiming { send(RequestOutcome.NotRun(Reason.NoBackendServer)) }
            is RequestEvent.KeyRecorded -> s.ifClaiming { finish(outcomeOf(event.record), event.record) }
            is RequestEvent.KeyConflict -> s.ifClaiming { finish(conflictOutcome(event.reason)) }
            is RequestEvent.KeyRejected -> s.ifClaiming { finish(RequestOutcome.NotRun(event.reason)) }
            is RequestEvent.AgentResponded -> s.ifSentTo(event.worker) { handleResponse(event.outcome) }
            is RequestEvent.SendFailed -> s.ifSentTo(event.worker) { handleResponse(outcomeOf(event)) }
            is RequestEvent.WithdrawalAcknowledged -> s.ifSentTo(event.worker) { handleWithdrawal(event.notRun) }
            is RequestEvent.WithdrawalFailed -> s.ifSentTo(event.worker) { handleWithdrawal(notRun = false) }
            RequestEvent.DeadlineReached -> s.withdraw(Reason.DeadlinePassed)
            RequestEvent.CallerDisconnected -> s.withdraw(Reason.Cancelled)
        }
        return Transition(s.state, s.actions)
    }
}

/** Working state of one step, and the actions collected so far. */
private class RequestStep(
    var state: RequestState,
    val now: MonotonicInstant,
    val context: RequestContext,
) {
    val actions: MutableList<RequestAction> = mutableListOf()

    fun start() {
        if (state.phase != RequestPhase.New) return
        val key = state.key
        when {
            key != null -> {
                state = state.copy(phase = RequestPhase.Claiming)
                actions += RequestAction.ClaimKey(key)
            }
            else -> send(RequestOutcome.NotRun(Reason.NoBackendServer))
        }
    }

    fun ifClaiming(then: RequestStep.() -> Unit) {
        if (state.phase == RequestPhase.Claiming) then()
    }

    fun ifSentTo(worker: WorkerId, then: RequestStep.() -> Unit) {
        if (state.sent?.worker == worker) then()
    }

    /** Sends the request to a worker that was not tried yet, or ends it with [otherwise] when there is none. */
    fun send(otherwise: RequestOutcome) {
        if (now >= state.deadline) {
            finish(RequestOutcome.NotRun(Reason.DeadlinePassed))
            return
        }
        val retry = state.tried.isNotEmpty()
        val allowed = !retry || (state.tried.size < MAX_TRIES && context.budget.retry() != null)
        val request = RoutingRequest(state.className, state.tried, context.failureDomain, context.seed)
        val info = if (allowed) context.route(context.snapshot, request, now) else null
        if (info == null) {
            finish(otherwise)
            return
        }
        val deadline = info.deadline(now, state.deadline - now)
        val send = RequestAction.Send(info.id, info.address, info.incarnation, deadline, retry)
        state = state.copy(phase = RequestPhase.Trying, sent = send, tried = state.tried + info.id)
        actions += send
    }

    fun handleResponse(outcome: RequestOutcome) {
        val withdrawing = state.phase == RequestPhase.Withdrawing
        when (outcome) {
            is RequestOutcome.NotRun -> {
                val final = withdrawing || outcome.reason == Reason.DeadlinePassed
                if (final) finish(outcome) else send(outcome)
            }
            is RequestOutcome.Unknown -> {
                state = state.copy(mayHaveRun = true)
                if (state.idempotent && !withdrawing) send(outcome) else finish(outcome)
            }
            else -> finish(outcome)
        }
    }

    fun handleWithdrawal(notRun: Boolean) {
        if (state.phase != RequestPhase.Withdrawing) return
        val reason = state.withdrawal ?: Reason.DeadlinePassed
        when {
            notRun -> finish(RequestOutcome.NotRun(reason))
            reason == Reason.Cancelled -> finish(RequestOutcome.Cancelled)
            else -> finish(RequestOutcome.Unknown(reason))
        }
    }

    fun withdraw(reason: Reason) {
        val sent = state.sent
        when {
            state.phase == RequestPhase.Withdrawing -> return
            sent == null -> finish(RequestOutcome.NotRun(reason))
            else -> {
                state = state.copy(phase = RequestPhase.Withdrawing, withdrawal = reason)
                actions += RequestAction.Withdraw(sent.worker, sent.address, sent.incarnation, sent.deadline)
            }
        }
    }

    /** Ends the request. If an earlier try may have run, a `not-run` outcome of the last one is reported as unknown. */
    fun finish(outcome: RequestOutcome, record: KeyRecord? = null) {
        val reported = when {
            outcome is RequestOutcome.NotRun && state.mayHaveRun -> RequestOutcome.Unknown(outcome.reason)
            else -> outcome
        }
        val claimed = state.key?.takeIf { state.phase != RequestPhase.New && record == null }
        state = state.copy(phase = RequestPhase.Finished, sent = null)
        // The owner ignores a settlement when another request holds the claim.
        if (claimed != null) actions += RequestAction.SettleKey(claimed, reported)
        actions += RequestAction.Finish(reported, record)
    }
}

/**
 * Reports `unknown`, since the earlier request with the key may have run. After `not-run`, the caller could repeat it
 * under a new key.
 */
private fun conflictOutcome(reason: Reason): RequestOutcome = RequestOutcome.Unknown(reason)

private fun outcomeOf(e: RequestEvent.SendFailed): RequestOutcome = when {
    e.notSent -> RequestOutcome.NotRun(Reason.Unreachable)
    else -> RequestOutcome.Unknown(Reason.ConnectionLost)
}

private fun outcomeOf(record: KeyRecord): RequestOutcome {
    val reason = Reason.entries.firstOrNull { it.code == record.reason }
    return when (record.outcome) {
        RequestOutcome.Completed.code -> RequestOutcome.Completed
        RequestOutcome.Cancelled.code -> RequestOutcome.Cancelled
        "failed" -> RequestOutcome.Failed(reason ?: Reason.WorkFailed)
        else -> RequestOutcome.Unknown(reason ?: Reason.KeyOutcomeUnknown)
    }
}

/** Maximum tries of one request. After several rejections, the next worker is likely to be overloaded too. */
private const val MAX_TRIES = 4
