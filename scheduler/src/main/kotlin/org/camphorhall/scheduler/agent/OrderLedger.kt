package org.camphorhall.scheduler.agent

import org.camphorhall.core.jobs.TaskRef

/** Knows up to which number the orders of the present connection were carried out. Orders may end out of order. */
internal class OrderLedger {
    private val open = sortedSetOf<Long>()
    private var greatest = 0L

    /** Changes with every connection to an owner. */
    var connection = 0
        private set

    /** Tasks whose start is under way. */
    val starting = HashSet<TaskRef>()

    /** All orders up to this number were carried out. */
    val doneUpTo: Long get() = (open.firstOrNull() ?: (greatest + 1)) - 1

    fun begin(number: Long) {
        open += number
        greatest = maxOf(greatest, number)
    }

    fun end(number: Long) {
        open -= number
    }

    /** Forgets the orders of an earlier connection. */
    fun reset() {
        open.clear()
        greatest = 0
        connection++
    }
}
