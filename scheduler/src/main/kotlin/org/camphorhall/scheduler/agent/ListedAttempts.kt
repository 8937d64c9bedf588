package org.camphorhall.scheduler.agent

import org.camphorhall.core.jobs.AttemptEnd
import org.camphorhall.core.jobs.EndCause
import org.camphorhall.core.jobs.RunningAttempt
import org.camphorhall.core.jobs.TaskRef
import org.camphorhall.platform.worker.WorkerAttempts

/** The newest lists of a worker's attempts. Not thread-safe. */
internal class ListedAttempts {
    /** Result of [update]. */
    class Update(val hasNewEnd: Boolean, val hasNewFailure: Boolean)

    private var lastEnd = 0L

    var running = emptyList<RunningAttempt>()
        private set

    var ended = emptyList<AttemptEnd>()
        private set

    /** Whether more attempts have ended than [ended] shows. */
    var hasMoreEnds = false
        private set

    /** Time of the lists on the worker's clock, in milliseconds. */
    var listedAt = 0L
        private set

    /** All commands up to this number were completed before the lists were read. */
    var lastCommand = 0L
        private set

    /** Greatest number of an end that the owner has stored. */
    var lastStoredEnd = 0L
        private set

    /** Ends that the owner has not stored. */
    val unstoredEnds: List<AttemptEnd> get() = ended.filter { it.number > lastStoredEnd }

    /**
     * Replaces the lists, which were read after the commands up to [lastCommand]. Responses on different connections
     * may arrive out of order: returns null if [lists] are older than the present ones.
     */
    fun update(lists: WorkerAttempts, lastCommand: Long): Update? {
        val time = lists.time.millis
        if (time < listedAt || time == listedAt && lastCommand < this.lastCommand) return null
        val new = lists.ended.filter { it.number > lastEnd }
        listedAt = time
        running = lists.running
        ended = lists.ended
        hasMoreEnds = lists.hasMoreEnds
        lastEnd = new.maxOfOrNull { it.number } ?: lastEnd
        this.lastCommand = maxOf(this.lastCommand, lastCommand)
        return Update(hasNewEnd = new.isNotEmpty(), hasNewFailure = new.any { it.cause == EndCause.Failed })
    }

    /** Records that all ends up to [number] are stored. */
    fun recordStored(number: Long) {
        lastStoredEnd = maxOf(lastStoredEnd, number)
    }

    /** Starts the numbers of commands anew, for a new connection to an owner. */
    fun resetCommands() {
        lastCommand = 0
    }

    /** Whether the worker has the attempt, as running or ended; null if the list of ends may lack it. */
    fun find(task: TaskRef, attempt: Int): Boolean? {
        val isListed = running.any { it.task == task && it.attempt == attempt } ||
            ended.any { it.task == task && it.attempt == attempt }
        return if (!isListed && hasMoreEnds) null else isListed
    }
}
