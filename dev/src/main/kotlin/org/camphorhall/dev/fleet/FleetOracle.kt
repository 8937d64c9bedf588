package org.camphorhall.dev.fleet

import kotlinx.serialization.Serializable

/**
 * Records the runs on all workers of a [FleetCommand] and reports two violations: a task that runs on two workers at
 * once, and a task that starts again after the scheduler acknowledged its completion. [clock] returns milliseconds of
 * the host's monotonic clock. Safe for concurrent use.
 */
internal class FleetOracle(private val clock: () -> Long = { System.nanoTime() / NANOS_PER_MILLI }) {
    /** Tasks that started, tasks that completed, all runs in the order of their starts, and each violation. */
    @Serializable
    class RunReport(
        val started: List<String>,
        val done: List<String>,
        val runs: List<TaskRun>,
        val violations: List<String>,
    )

    /**
     * A run of a task. [end] is the cause that the worker lists, or `crashed` if the worker ended; it and [endedAt] are
     * null while the task runs.
     */
    @Serializable
    data class TaskRun(
        val task: String,
        val run: Int,
        val worker: String,
        val startedAt: Long,
        val endedAt: Long? = null,
        val end: String? = null,
    )

    private val running = HashMap<String, String>()
    private val runs = mutableListOf<TaskRun>()
    private val done = LinkedHashSet<String>()
    private val acknowledged = HashSet<String>()
    private val violations = mutableListOf<String>()

    @Synchronized
    fun recordStart(worker: String, task: String, run: Int) {
        running.put(task, worker)?.let { violations += "$task run $run started on $worker while it runs on $it" }
        if (task in acknowledged) violations += "$task run $run started on $worker after its end was acknowledged"
        runs += TaskRun(task, run, worker, clock())
    }

    /** Records that the run of [task] on [worker] has ended by [cause], which is [DONE] if it completed. */
    @Synchronized
    fun recordEnd(worker: String, task: String, cause: String) {
        if (running[task] == worker) running.remove(task)
        if (cause == DONE) done += task
        val index = runs.indexOfLast { it.task == task && it.worker == worker && it.end == null }
        if (index >= 0) runs[index] = runs[index].copy(endedAt = clock(), end = cause)
    }

    /** Records that the scheduler acknowledged the completion of [task]; any later start of it is a violation. */
    @Synchronized
    fun recordAcknowledgement(task: String) {
        acknowledged += task
    }

    @Synchronized
    fun report(): RunReport =
        RunReport(runs.map { it.task }.distinct(), done.toList(), runs.toList(), violations.toList())

    companion object {
        const val DONE = "done"
        private const val NANOS_PER_MILLI = 1_000_000L
    }
}
