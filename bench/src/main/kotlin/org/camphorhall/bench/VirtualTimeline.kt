package org.camphorhall.bench

import org.camphorhall.core.model.MonotonicInstant
import java.util.PriorityQueue
import kotlin.time.Duration

/** Runs actions in order of virtual time; actions of the same time run in the order in which they were added. */
internal class VirtualTimeline(var now: MonotonicInstant = origin) {
    private class Entry(val at: MonotonicInstant, val number: Long, val action: () -> Unit)

    private val entries = PriorityQueue(compareBy<Entry> { it.at }.thenBy { it.number })
    private var added = 0L

    fun at(time: MonotonicInstant, action: () -> Unit) {
        entries += Entry(maxOf(time, now), added++, action)
    }

    fun after(delay: Duration, action: () -> Unit) = at(now + delay, action)

    /** Runs [action] immediately and then every [period]. */
    fun every(period: Duration, action: () -> Unit) {
        action()
        after(period) { every(period, action) }
    }

    fun runUntil(end: MonotonicInstant) {
        while (true) {
            val next = entries.peek()?.takeIf { it.at <= end } ?: break
            entries.poll()
            now = next.at
            next.action()
        }
        now = end
    }
}
