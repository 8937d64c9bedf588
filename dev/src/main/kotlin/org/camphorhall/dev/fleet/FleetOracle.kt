package org.camphorhall.dev.fleet

import kotlinx.serialization.Serializable

/**
 * Records the runs on all workers of a [FleetCommand] and reports two violations: a task that runs on two workers at
 * once, and a task that starts again after the scheduler acknowledged its completion. Safe for concurrent use.
 */
internal class FleetOracle {
    /** Tasks that started, tasks that completed, and a description of each violation. */
    @Serializable
    class RunReport(val started: List<String>, val done: List<String>, val violations: List<String>)

    private val running = HashMap<String, String>()
    private val started = LinkedHashSet<String>()
    private val done = LinkedHashSet<String>()
    private val acknowledged = HashSet<String>()
    private val violations = mutableListOf<String>()

    @Synchronized
    fun recordStart(worker: String, task: String, run: Int) {
        running.put(task, worker)?.let { violations += "$task run $run started on $worker while it runs on $it" }
        if (task in acknowledged) violations += "$task run $run started on $worker after its end was acknowledged"
        started += task
    }

    @Synchronized
    fun recordEnd(worker: String, task: String, isCompleted: Boolean) {
        if (running[task] == worker) running.remove(task)
        if (isCompleted) done += task
    }

    /** Records that the scheduler acknowledged the completion of [task]; any later start of it is a violation. */
    @Synchronized
    fun recordAcknowledgement(task: String) {
        acknowledged += task
    }

    @Synchronized
    fun report(): RunReport = RunReport(started.toList(), done.toList(), violations.toList())
}
