package org.camphorhall.scheduler.agent

import org.camphorhall.core.jobs.TaskRef

/** Knows up to which number the orders of the present connection were carried out. Orders may end out of order. */
internal class CommandTracker {
    private val completedOutOfOrder = HashSet<Long>()

    /** All orders up to this number were carried out. */
    var lastCompleted = 0L
        private set

    /** Changes with every connection to an owner. */
    var connectionNumber = 0
        private set

    /** Tasks whose start is under way. */
    val startingTasks = HashSet<TaskRef>()

    /** Notes that the order with [number] was carried out. */
    fun recordCompleted(number: Long) {
        completedOutOfOrder += number
        while (completedOutOfOrder.remove(lastCompleted + 1)) lastCompleted++
    }

    /** Forgets the orders of an earlier connection. */
    fun reset() {
        completedOutOfOrder.clear()
        lastCompleted = 0
        connectionNumber++
    }
}
