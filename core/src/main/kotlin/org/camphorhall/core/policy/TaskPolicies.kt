package org.camphorhall.core.policy

import org.camphorhall.core.agent.AgentState
import org.camphorhall.core.agent.AttemptPhase
import org.camphorhall.core.agent.TrackedAttempt
import org.camphorhall.core.model.MonotonicInstant
import org.camphorhall.core.model.Resources
import org.camphorhall.core.model.Target
import kotlin.math.ceil
import kotlin.math.floor
import kotlin.time.Duration.Companion.milliseconds

/** Reserves capacity for a quarter of the slots of each backend server beyond its running requests. */
public fun headroomBySlots(state: AgentState, now: MonotonicInstant): Resources =
    state.backends.values.filter { it.acceptsRequests(now) }.fold(Resources.None) { sum, b ->
        val spare = minOf(b.slots - b.running, (b.slots + 3) / 4).coerceAtLeast(0)
        sum + b.perRequest * spare
    }

/** Reserves no capacity; a baseline for measurements. */
public val noHeadroom: HeadroomPolicy = { _, _ -> Resources.None }

/**
 * Reserves capacity for the largest recent rise of concurrent requests, up to the free slots and to half of the worker,
 * since batch tasks would otherwise wait for minutes after a large rise. Processors that a throttle of running batch
 * tasks can free count towards the reserve, so batch tasks may use them until then.
 */
public fun headroomByRecentRise(state: AgentState, now: MonotonicInstant): Resources {
    val available = state.backends.values.filter { it.acceptsRequests(now) }
    if (available.isEmpty()) return Resources.None
    if (state.demand.isEmpty()) return headroomBySlots(state, now)
    val freeSlots = available.sumOf { (it.slots - it.running).coerceAtLeast(0) }
    val rise = ceil(state.demand.values.sumOf { it.expectedRise(now) }).toInt()
    val reserve = available.fold(Resources.None) { max, b -> max.max(b.perRequest) } * minOf(freeSlots, rise)
    val reserved = state.capacity?.let { reserve.min(it.half()) } ?: reserve
    val reclaimable = state.attempts.values.filter { it.canThrottle(state) }
        .sumOf { (it.spec.resources.cpuMillis * (it.cpuShare - MIN_SHARE)).toLong() }
    return reserved.copy(cpuMillis = (reserved.cpuMillis - reclaimable).coerceAtLeast(0))
}

/**
 * Throttles batch tasks when only processors are short. Otherwise, or when that is not enough, evicts the task with the
 * most slack to its finish-by target among those that free enough. Tasks of answer-within classes are evicted last.
 */
public fun throttleThenEvict(state: AgentState, needed: Resources, now: MonotonicInstant): List<ReclaimStep> {
    if (needed.memoryMib <= 0 && needed.accelerators <= 0) {
        val steps = throttle(state, needed.cpuMillis, now)
        if (steps != null) return steps
    }
    val steps = mutableListOf<ReclaimStep>()
    val candidates = state.attempts.values.filter { it.phase == AttemptPhase.Running }.toMutableList()
    var missing = needed
    while (!(missing fitsIn Resources.None) && candidates.isNotEmpty()) {
        val next = candidates.minWith(
            compareBy<TrackedAttempt> { hasAnswerWithinTarget(state, it) }
                .thenBy { slackMillis(it, now) < RESTART_COST_MILLIS }
                .thenBy { !(missing fitsIn it.charged) }
                .thenByDescending { slackMillis(it, now) },
        )
        candidates -= next
        steps += ReclaimStep.Evict(next.id)
        missing -= next.charged
    }
    return steps
}

/** Takes [cpuMillis] from the tasks with the most slack to their finish-by target; null when that is not enough. */
private fun throttle(state: AgentState, cpuMillis: Long, now: MonotonicInstant): List<ReclaimStep>? {
    val steps = mutableListOf<ReclaimStep>()
    var missing = cpuMillis
    for (a in state.attempts.values.filter { it.canThrottle(state) }.sortedByDescending { slackMillis(it, now) }) {
        if (missing <= 0) break
        val declared = a.spec.resources.cpuMillis.coerceAtLeast(1)
        val share = (floor((a.cpuShare - missing.toDouble() / declared) / SHARE_STEP) * SHARE_STEP)
            .coerceAtLeast(MIN_SHARE)
        if (share >= a.cpuShare) continue
        steps += ReclaimStep.Throttle(a.id, share)
        missing -= (declared * (a.cpuShare - share)).toLong()
    }
    return steps.takeIf { missing <= 0 }
}

/**
 * Returns processors to throttled tasks, the one with the least slack to its finish-by target first. Processors for the
 * mean of the recent requests plus one stay free, and a share is not raised within [RESTORE_COOLDOWN] of its last
 * change, so shares do not oscillate.
 */
public fun restoreUnusedCpu(state: AgentState, now: MonotonicInstant): List<ReclaimStep.Throttle> {
    val throttled = state.attempts.values.filter {
        it.phase == AttemptPhase.Running && it.cpuShare < 1.0 && it.pendingShare == null &&
            now - it.shareChangedAt >= RESTORE_COOLDOWN
    }
    val capacity = state.capacity
    if (throttled.isEmpty() || capacity == null) return emptyList()
    val available = state.backends.values.filter { it.acceptsRequests(now) }
    val expected = minOf(available.sumOf { it.slots }.toDouble(), 1 + state.demand.values.sumOf { it.recentMean(now) })
    val cpuPerRequest = available.maxOfOrNull { it.perRequest.cpuMillis } ?: 0
    val reservedCpu = ((expected - state.running.size).coerceAtLeast(0.0) * cpuPerRequest).toLong()
    var unused = capacity.cpuMillis - state.used.cpuMillis - reservedCpu
    val steps = mutableListOf<ReclaimStep.Throttle>()
    for (a in throttled.sortedBy { slackMillis(it, now) }) {
        val declared = a.spec.resources.cpuMillis.coerceAtLeast(1)
        val raised = floor((a.cpuShare + unused.toDouble() / declared) / SHARE_STEP) * SHARE_STEP
        val share = raised.coerceAtMost(1.0)
        if (share < minOf(1.0, a.cpuShare + MIN_SHARE_INCREASE)) continue
        steps += ReclaimStep.Throttle(a.id, share)
        unused -= ceil(declared * (share - a.cpuShare)).toLong()
    }
    return steps
}

/** Restores no shares; a baseline for measurements. */
public val noRestore: RestorePolicy = { _, _ -> emptyList() }

/** Evicts the most recently accepted tasks first; a baseline for measurements. */
@Suppress("UNUSED_PARAMETER")
public fun evictNewest(state: AgentState, needed: Resources, now: MonotonicInstant): List<ReclaimStep> {
    val steps = mutableListOf<ReclaimStep>()
    var missing = needed
    for (a in state.attempts.values.filter { it.phase == AttemptPhase.Running }.sortedByDescending { it.acceptedAt }) {
        if (missing fitsIn Resources.None) break
        steps += ReclaimStep.Evict(a.id)
        missing -= a.charged
    }
    return steps
}

private fun hasAnswerWithinTarget(state: AgentState, a: TrackedAttempt): Boolean =
    a.spec.className?.let { state.config.workClass(it)?.target } is Target.AnswerWithin

/** Time in milliseconds that the task can lose and still meet its finish-by target; very large when it has none. */
private fun slackMillis(a: TrackedAttempt, now: MonotonicInstant): Long {
    val remaining = a.spec.finishByRemainingMillis ?: return Long.MAX_VALUE / 2
    val elapsed = (now - a.acceptedAt).inWholeMilliseconds
    return remaining - elapsed - (a.spec.expectedMillis - a.progressMillis).coerceAtLeast(0)
}

private fun TrackedAttempt.canThrottle(state: AgentState): Boolean =
    phase == AttemptPhase.Running && pendingShare == null && cpuShare > MIN_SHARE && !hasAnswerWithinTarget(state, this)

/** Minimum fraction of its declared processors that a throttled task keeps. */
private const val MIN_SHARE = 0.25

/** Granularity of shares. */
private const val SHARE_STEP = 1.0 / 64

/** Smallest increase of a share, so that a task is not restored in many small steps. */
private const val MIN_SHARE_INCREASE = 0.125

/** Minimum time between the last change of a share and its restoration. */
private val RESTORE_COOLDOWN = 500.milliseconds

/** Time that an eviction and a restart cost a task; with less slack, it would miss its finish-by target. */
private const val RESTART_COST_MILLIS = 30_000L
