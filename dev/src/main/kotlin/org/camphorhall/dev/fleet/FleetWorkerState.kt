package org.camphorhall.dev.fleet

/** Runs and lease of a worker. Times are in milliseconds of the worker's clock. Not safe for concurrent use. */
internal class FleetWorkerState(
    private val cpuCapacity: Long,
    private val oracle: FleetOracle,
    private val id: String,
) {
    /** A running task, which completes [runMillis] after [startedAt]; a negative [runMillis] never completes. */
    class Run(val task: String, val run: Int, val runMillis: Long, val cpu: Long, val startedAt: Long)

    /** End of a run, listed in poll responses until the scheduler acknowledges its [number]. */
    class End(val number: Long, val task: String, val run: Int, val cause: String) {
        /** Whether the lease expired before the acknowledgement, which is then not reported to the oracle. */
        var isLeaseExpired = false
    }

    val running = LinkedHashMap<String, Run>()
    val ended = mutableListOf<End>()

    private val highestRun = HashMap<String, Int>()
    private var leaseUntil = 0L
    private var token = 0L
    private var lastEndNumber = 0L

    /** Returns whether the fencing token [received] is below the greatest one seen, and otherwise stores it. */
    fun isStaleToken(received: Long): Boolean {
        if (received < token) return true
        token = received
        return false
    }

    /** Extends the lease to [until], at most to the longest one from [now]. */
    fun extendLease(until: Long, now: Long) {
        leaseUntil = maxOf(leaseUntil, minOf(until, now + MAX_LEASE_MILLIS))
    }

    /** Starts a run. Returns the reason for a rejection, or null if the run started or is already running. */
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

    /** Ends completed runs and, once the lease has expired, all runs. */
    fun endFinishedRuns(now: Long) {
        running.values.filter { it.runMillis >= 0 && now - it.startedAt >= it.runMillis }.forEach { end(it.task, DONE) }
        if (now < leaseUntil) return
        running.keys.toList().forEach { end(it, "lapsed") }
        ended.forEach { it.isLeaseExpired = true }
    }

    /** Ends all runs without listing them. */
    fun endAll() {
        running.keys.forEach { oracle.recordEnd(id, it, "crashed") }
        running.clear()
    }

    /** Removes the listed ends up to and including number [upTo]. */
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
        oracle.recordEnd(id, task, cause)
        ended += End(++lastEndNumber, task, run.run, cause)
    }

    private companion object {
        const val FULL_PERCENT = 100
        const val MAX_LEASE_MILLIS = 6_000L
        const val DONE = FleetOracle.DONE
    }
}
