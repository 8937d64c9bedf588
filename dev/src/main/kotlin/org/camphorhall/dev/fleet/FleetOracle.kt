package org.camphorhall.dev.fleet

import kotlinx.serialization.Serializable

/** Watches the runs on all workers of a [FleetCommand] and notes what must not happen. */
internal class FleetOracle {
    /** Jobs that ran, and the violations found. */
    @Serializable
    class Runs(val started: List<String>, val done: List<String>, val violations: List<String>)

    private val running = HashMap<String, String>()
    private val started = LinkedHashSet<String>()
    private val done = LinkedHashSet<String>()
    private val noted = HashSet<String>()
    private val violations = mutableListOf<String>()

    @Synchronized
    fun started(worker: String, task: String, run: Int) {
        running.put(task, worker)?.let { violations += "$task run $run on $worker while it runs on $it" }
        if (task in noted) violations += "$task run $run on $worker after its end was noted"
        started += task
    }

    @Synchronized
    fun ended(worker: String, task: String, isDone: Boolean) {
        if (running[task] == worker) running.remove(task)
        if (isDone) done += task
    }

    /** The system has taken note that [task] is done. */
    @Synchronized
    fun noted(task: String) {
        noted += task
    }

    @Synchronized
    fun runs(): Runs = Runs(started.toList(), done.toList(), violations.toList())
}
