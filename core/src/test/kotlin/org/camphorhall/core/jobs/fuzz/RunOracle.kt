package org.camphorhall.core.jobs.fuzz

import org.camphorhall.core.jobs.TaskRef

/**
 * Checks the runs that the workers record themselves. The tasks of jobs that have ended are checked once an owner and
 * its agents have had [RECOVERY_MILLIS] without faults to find each other and the workers.
 */
internal class RunOracle(private val sim: Simulation) {
    /** Workers whose runs are checked, also those that have ended. */
    val workers = mutableListOf<WorkerModel>()
    private val acknowledged = HashSet<TaskRef>()
    private val startedAt = HashMap<TaskRef, Long>()

    /** Times at which the ends of jobs were stored, or their cancellations acknowledged if that was earlier. */
    private val endedAt = HashMap<String, Long>()

    /** Time of the last fault; null before it. */
    private var calmSince: Long? = null
    var starts = 0L
        private set

    /** Checks an [end] that is acknowledged to its worker before the lease of the worker has lapsed. */
    fun checkAcknowledged(end: DoneEnd) {
        acknowledged += end.task
        if ((startedAt[end.task] ?: 0) > end.time) {
            throw RunViolation("${end.task} was done at ${end.time}, started since, and the end was acknowledged")
        }
    }

    /** Checks a [started] run before it counts as running. */
    fun checkStart(started: WorkerModel.Run) {
        starts++
        startedAt[started.task] = sim.now
        workers.forEach { it.settle() }
        val other = workers.flatMap { it.running }.firstOrNull { it !== started && it.task == started.task }
        if (other != null) throw RunViolation("two runs at the same time: $started starts while $other runs")
        if (started.task in acknowledged) throw RunViolation("$started starts after an acknowledged end as done")
        checkJobEnd(started)
    }

    /** Checks that the job of a [started] run has not ended. */
    private fun checkJobEnd(started: WorkerModel.Run) {
        if (isDue(started.task.job, CANCEL_MILLIS)) throw RunViolation("$started starts after ${endOf(started)}")
    }

    fun recordCalm() {
        calmSince = sim.now
    }

    /** Records that the end of [job] was stored, or its cancellation acknowledged. */
    fun recordJobEnd(job: String) {
        endedAt.putIfAbsent(job, sim.now)
    }

    /** Checks that no task runs on whose job has ended. */
    fun checkStopped() {
        workers.forEach { it.settle() }
        val run = workers.flatMap { it.running }.firstOrNull { isDue(it.task.job, CANCEL_MILLIS + STOP_MILLIS) }
        if (run != null) throw RunViolation("$run runs on after ${endOf(run)}")
    }

    private fun endOf(run: WorkerModel.Run) = "the end of its job at ${endedAt[run.task.job]}, calm since $calmSince"

    private fun isDue(job: String, millis: Long): Boolean {
        val ended = endedAt[job] ?: return false
        val calm = calmSince ?: return false
        return sim.now > maxOf(ended + millis, calm + RECOVERY_MILLIS)
    }

    private companion object {
        /** Time in which the effects of faults end. */
        const val RECOVERY_MILLIS = 12_000L

        /** Time in which a calm system stops to start tasks of a cancelled job, and that of a worker to stop one. */
        const val CANCEL_MILLIS = 3_000L
        const val STOP_MILLIS = 900L
    }
}

/** The end of a run as done at [time]. */
internal class DoneEnd(val task: TaskRef, val time: Long)

/** A broken rule. */
internal class RunViolation(message: String) : AssertionError(message)
