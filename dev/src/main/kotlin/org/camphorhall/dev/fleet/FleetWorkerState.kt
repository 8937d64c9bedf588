package org.camphorhall.dev.fleet

/** What a worker of the users' platform runs. Times are milliseconds of its own clock. Not safe for concurrent use. */
internal class FleetWorkerState(
    private val cpuCapacity: Long,
    private val oracle: FleetOracle,
    private val id: String,
) {
    /** One task that runs. Its work is done after [runMillis]. */
    class Run(val task: String, val run: Int, val runMillis: Long, val cpu: Long, val startedAt: Long)

    /** One end, as it is listed. */
    class End(val number: Long, val task: String, val run: Int, val cause: String) {
        /** Whether the lease expired before the end was noted; it then does not count as noted. */
        var isLeaseExpired = false
    }

    val running = LinkedHashMap<String, Run>()
    val ended = mutableListOf<End>()

    private val highestRun = HashMap<String, Int>()
    private var leaseUntil = 0L
    private var token = 0L
    private var lastEndNumber = 0L

    /** Whether a call with [received] is refused because of a greater token. */
    fun isStaleToken(received: Long): Boolean {
        if (received < token) return true
        token = received
        return false
    }

    fun extendLease(until: Long) {
        leaseUntil = maxOf(leaseUntil, until)
    }

    /** Starts a run; returns the reason of a refusal, or null. */
    fun start(task: String, run: Int, runMillis: Long, cpu: Long, now: Long): String? {
        endFinishedRuns(now)
        if (running[task]?.run == run) return null
        return when {
            run <= (highestRun[task] ?: 0) -> "old"
            leaseUntil <= now -> "late"
            running.values.sumOf { it.cpu } + cpu > cpuCapacity -> "room"
            else -> {
                highestRun[task] = run
                running[task] = Run(task, run, runMillis, cpu, now)
                oracle.recordStart(id, task, run)
                null
            }
        }
    }

    fun stop(task: String, run: Int, now: Long) {
        endFinishedRuns(now)
        highestRun[task] = maxOf(highestRun[task] ?: 0, run)
        if (running[task]?.run == run) end(task, "stopped")
    }

    /** Ends what is done, and everything when the lease has expired. */
    fun endFinishedRuns(now: Long) {
        running.values.filter { it.runMillis >= 0 && now - it.startedAt >= it.runMillis }.forEach { end(it.task, DONE) }
        if (now < leaseUntil) return
        running.keys.toList().forEach { end(it, "lapsed") }
        ended.forEach { it.isLeaseExpired = true }
    }

    fun acknowledgeEnds(upTo: Long) {
        ended.filter { it.number <= upTo && it.cause == DONE && !it.isLeaseExpired }
            .forEach { oracle.recordAcknowledgement(it.task) }
        ended.removeAll { it.number <= upTo }
    }

    fun progressPercent(run: Run, now: Long): Int = if (run.runMillis <= 0) {
        FULL_PERCENT
    } else {
        ((now - run.startedAt) * FULL_PERCENT / run.runMillis).toInt().coerceAtMost(FULL_PERCENT - 1)
    }

    private fun end(task: String, cause: String) {
        val run = running.remove(task) ?: return
        oracle.recordEnd(id, task, cause == DONE)
        ended += End(++lastEndNumber, task, run.run, cause)
    }

    private companion object {
        const val FULL_PERCENT = 100
        const val DONE = "done"
    }
}
