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

/** Orders waiting requests by the time left to their target or deadline, then by arrival. */
public val earliestDeadlineFirst: Comparator<QueuedRequest> =
    compareBy<QueuedRequest> { it.due }.thenBy { it.arrivalNumber }

/** Orders waiting requests by arrival; a baseline for measurements. */
public val firstInFirstOut: Comparator<QueuedRequest> = compareBy { it.arrivalNumber }

/** Accepts every request; a baseline for measurements. */
public val admitAll: AdmissionPolicy = { _, _, _ -> null }

/** Lets every class take every slot; a baseline for measurements. */
public val anySlot: SlotPolicy = { _, _, _ -> true }

/**
 * Refuses a request that would be answered later than its target or its deadline, by the predicted wait and the service
 * time of its class with an allowance for its spread. A request that finds a free slot is refused only when its class
 * is too slow on average.
 */
public fun admitByPredictedWait(
    state: AgentState,
    request: Request,
    now: MonotonicInstant,
): RequestOutcome.NotRun? {
    val own = state.estimates[request.className] ?: return null
    val due = state.dueTime(request, now)
    val wait = predictedWait(state, request.className, due, now)
    val spread = if (wait > Duration.ZERO) SPREAD_FACTOR * own.deviationMicros else 0.0
    if (now + wait + (own.meanMicros + spread).microseconds <= due) return null
    return RequestOutcome.NotRun(Reason.TargetUnreachable, retryAfter = wait)
}

/**
 * Lets long classes take only the slots that the recent peak of the short ones leaves, so that a short request does not
 * wait for a long one to end. A long request whose time runs out may take one slot in eight while at most a
 * quarter of the slots are in use.
 */
public fun reserveSlotsForShortClasses(state: AgentState, queued: QueuedRequest, now: MonotonicInstant): Boolean {
    val classes = ClassLengths(state)
    if (!classes.isLong(queued.request.className)) return true
    val slots = state.backends.values.filter { it.acceptsRequests(now) }.sumOf { it.slots }
    val long = state.running.values.count { classes.isLong(it, now) }
    if (long < longSlots(state, slots, now)) return true
    val quiet = state.running.size + state.queue.count { !classes.isLong(it.request.className) } <= slots / 4
    return quiet && long < maxOf(1, slots / 8) && mustRunNow(state, queued, now)
}

/** Deviations of the service time that a waiting request is given on top of the mean. */
private const val SPREAD_FACTOR = 2.0
