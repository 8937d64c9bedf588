package org.camphorhall.scheduler.agent

import org.camphorhall.core.jobs.TaskRef

/** Knows up to which number the orders of the present connection were carried out. Orders may end out of order. */
internal class OrderLedger {
    private val endedEarly = HashSet<Long>()

    /** All orders up to this number were carried out. */
    var doneUpTo = 0L
        private set

    /** Changes with every connection to an owner. */
    var connection = 0
        private set

    /** Tasks whose start is under way. */
    val starting = HashSet<TaskRef>()

    /** Notes that the order with [number] was carried out. */
    fun end(number: Long) {
        endedEarly += number
        while (endedEarly.remove(doneUpTo + 1)) doneUpTo++
    }

    /** Forgets the orders of an earlier connection. */
    fun reset() {
        endedEarly.clear()
        doneUpTo = 0
        connection++
    }
}
