package org.camphorhall.core.policy

import org.camphorhall.core.agent.AgentState
import org.camphorhall.core.agent.QueuedRequest
import org.camphorhall.core.agent.Request
import org.camphorhall.core.model.ClassName
import org.camphorhall.core.model.MonotonicInstant
import org.camphorhall.core.model.Reason
import org.camphorhall.core.model.RequestOutcome
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds

/** Orders queued requests by their target or deadline, then by arrival. */
public val earliestDeadlineFirst: Comparator<QueuedRequest> =
    compareBy<QueuedRequest> { it.due }.thenBy { it.arrivalNumber }

/** Orders queued requests by arrival; a baseline for measurements. */
public val firstInFirstOut: Comparator<QueuedRequest> = compareBy { it.arrivalNumber }

/** Accepts every request; a baseline for measurements. */
public val admitAll: AdmissionPolicy = { _, _, _ -> null }

/** Lets every class take every slot; a baseline for measurements. */
public val anySlot: SlotPolicy = { _, _, _ -> true }

/**
 * Rejects a request whose predicted wait and service time exceed its target or deadline. The service time is the mean
 * of its class plus [DEVIATION_FACTOR] deviations; for a request that finds a free slot it is the mean alone.
 */
public fun admitByPredictedWait(
    state: AgentState,
    request: Request,
    now: MonotonicInstant,
): RequestOutcome.NotRun? {
    val own = state.estimates[request.className] ?: return null
    val due = state.dueTime(request, now)
    val wait = predictedWait(state, request.className, due, now)
    val allowance = if (wait > Duration.ZERO) DEVIATION_FACTOR * own.deviationMicros else 0.0
    if (now + wait + (own.meanMicros + allowance).microseconds <= due) return null
    return RequestOutcome.NotRun(Reason.TargetUnreachable, retryAfter = wait)
}

/**
 * Limits long classes to the slots that the recent peak of the short ones leaves, so that a short request does not wait
 * for a long one to complete. Long requests that must run now to meet their target may use one slot in eight while the
 * running requests and the queued short ones need at most a quarter of the slots.
 */
public fun reserveSlotsForShortClasses(state: AgentState, queued: QueuedRequest, now: MonotonicInstant): Boolean {
    val classes = ClassLengths(state)
    if (!classes.isLong(queued.request.className)) return true
    val slots = state.backends.values.filter { it.acceptsRequests(now) }.sumOf { it.slots }
    val long = state.running.values.count { classes.isLong(it, now) }
    if (long < longSlots(state, slots, now)) return true
    val lightLoad = state.running.size + state.queue.count { !classes.isLong(it.request.className) } <= slots / 4
    return lightLoad && long < maxOf(1, slots / 8) && mustRunNow(state, queued, now)
}

/** Deviations that are added to the mean service time of a request that has to wait. */
private const val DEVIATION_FACTOR = 2.0
