package org.camphorhall.core.policy

import org.camphorhall.core.agent.AgentState
import org.camphorhall.core.agent.QueuedRequest
import org.camphorhall.core.agent.RunningRequest
import org.camphorhall.core.model.ClassName
import org.camphorhall.core.model.MonotonicInstant
import kotlin.math.ceil
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds

/**
 * Predicts how long a request of [name] that must be answered by [due] waits for a slot; infinite without a backend
 * server. It assigns the queued requests ahead of it to the slots one by one, so a slot that a very long request
 * occupies stays unavailable while the others progress.
 */
public fun predictedWait(
    state: AgentState,
    name: ClassName,
    due: MonotonicInstant,
    now: MonotonicInstant,
): Duration {
    val classes = ClassLengths(state)
    val long = classes.isLong(name)
    val available = state.backends.values.filter { it.acceptsRequests(now) && name in it.classes }
    val slots = available.sumOf { it.slots }
    if (slots == 0) return Duration.INFINITE
    val ids = available.map { it.id }
    val running = state.running.values.filter { it.backend in ids }
    val ahead = state.queue.filter { it.due <= due && classes.isLong(it.request.className) == long }
    if (!long && ahead.isEmpty() && running.size < slots) return Duration.ZERO
    val occupying = if (long) running.filter { classes.isLong(it.request.className) } else running
    val usable = if (long) longSlots(state, slots, now).coerceAtLeast(1) else slots
    // Microseconds from now until each slot is free.
    val freeAt = DoubleArray(usable)
    occupying.map { residualMicros(state, it, now) }.sorted().takeLast(usable).forEachIndexed { i, r -> freeAt[i] = r }
    for (q in ahead) freeAt[freeAt.indexOfMin()] += state.estimates[q.request.className]?.meanMicros ?: 0.0
    return freeAt[freeAt.indexOfMin()].toLong().microseconds
}

/** Remaining service time of a running request. It grows with the age of an unusually long request. */
internal fun residualMicros(state: AgentState, r: RunningRequest, now: MonotonicInstant): Double {
    val mean = state.estimates[r.request.className]?.meanMicros ?: return 0.0
    val age = (now - r.dispatchedAt).inWholeMicroseconds.toDouble()
    return maxOf(mean - age, mean * MIN_RESIDUAL_FRACTION, age - mean)
}

/**
 * Slots that long classes may take: those that the recent peak of the short classes leaves, but at most three quarters.
 */
internal fun longSlots(state: AgentState, slots: Int, now: MonotonicInstant): Int {
    val classes = ClassLengths(state)
    val short = state.demand.entries.sumOf { (n, d) -> if (classes.isLong(n)) 0.0 else d.expectedPeak(now) }
    return minOf(slots - maxOf(1, slots / 4), slots - ceil(short).toInt()).coerceAtLeast(0)
}

/** Classifies classes of work as short or long by their measured service times. */
internal class ClassLengths(private val state: AgentState) {
    private val limit = (state.estimates.values.minOfOrNull { it.meanMicros } ?: Double.MAX_VALUE) * LONG_CLASS_FACTOR

    fun isLong(name: ClassName): Boolean = (state.estimates[name]?.meanMicros ?: 0.0) > limit

    /** Returns whether the request occupies its slot for long, by its class or by the time that it has already run. */
    fun isLong(r: RunningRequest, now: MonotonicInstant): Boolean =
        isLong(r.request.className) || (now - r.dispatchedAt).inWholeMicroseconds > limit
}

/** Returns whether [q], a queued long request, must start now if all queued long requests run one after another. */
internal fun mustRunNow(state: AgentState, q: QueuedRequest, now: MonotonicInstant): Boolean {
    val classes = ClassLengths(state)
    val own = state.estimates[q.request.className] ?: return true
    val queuedMicros = state.queue.sumOf {
        val n = it.request.className
        if (classes.isLong(n)) state.estimates.getValue(n).meanMicros else 0.0
    }
    val needed = queuedMicros + own.meanMicros + 2 * own.deviationMicros
    return now + needed.toLong().microseconds >= q.due
}

private fun DoubleArray.indexOfMin(): Int {
    var best = 0
    for (i in 1 until size) if (this[i] < this[best]) best = i
    return best
}

/** A class is long when its mean service time exceeds that of the worker's shortest class by this factor. */
private const val LONG_CLASS_FACTOR = 4.0

/** Least remaining service time of a running request, as a fraction of the mean. */
private const val MIN_RESIDUAL_FRACTION = 0.25
