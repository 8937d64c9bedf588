package org.camphorhall.dev.fleet

import kotlinx.serialization.Serializable

/** Watches the runs on all workers of a [FleetCommand] and notes what must not happen. */
internal class FleetOracle {
    /** Jobs that ran, and the violations found. */
    @Serializable
    class RunReport(val started: List<String>, val done: List<String>, val violations: List<String>)

    private val running = HashMap<String, String>()
    private val started = LinkedHashSet<String>()
    private val done = LinkedHashSet<String>()
    private val acknowledged = HashSet<String>()
    private val violations = mutableListOf<String>()

    @Synchronized
    fun recordStart(worker: String, task: String, run: Int) {
        running.put(task, worker)?.let { violations += "$task run $run on $worker while it runs on $it" }
        if (task in acknowledged) violations += "$task run $run on $worker after its end was noted"
        started += task
    }

    @Synchronized
    fun recordEnd(worker: String, task: String, isCompleted: Boolean) {
        if (running[task] == worker) running.remove(task)
        if (isCompleted) done += task
    }

    /** The system has taken note that [task] is done. */
    @Synchronized
    fun recordAcknowledgement(task: String) {
        acknowledged += task
    }

    @Synchronized
    fun report(): RunReport = RunReport(started.toList(), done.toList(), violations.toList())
}
