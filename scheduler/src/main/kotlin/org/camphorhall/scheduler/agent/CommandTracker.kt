package org.camphorhall.scheduler.agent

import org.camphorhall.core.jobs.TaskRef

/** Tracks the completed commands of the current owner connection. Commands may complete out of order. */
internal class CommandTracker {
    private val completedOutOfOrder = HashSet<Long>()

    /** All commands up to this number are completed. */
    var lastCompleted = 0L
        private set

    /** Incremented with every connection to an owner. */
    var connectionNumber = 0
        private set

    /** Tasks whose start request has no response yet. */
    val startingTasks = HashSet<TaskRef>()

    /** Records that the command with [number] completed. */
    fun recordCompleted(number: Long) {
        completedOutOfOrder += number
        while (completedOutOfOrder.remove(lastCompleted + 1)) lastCompleted++
    }

    /** Discards the commands of the previous connection. */
    fun reset() {
        completedOutOfOrder.clear()
        lastCompleted = 0
        connectionNumber++
    }
}
