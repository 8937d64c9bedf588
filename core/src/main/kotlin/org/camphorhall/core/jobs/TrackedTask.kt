package org.camphorhall.core.jobs

/** In-memory state of a task. */
internal class TrackedTask(val ref: TaskRef, val spec: StepSpec) {
    var done = false
    var attempt = 0
    var failures = 0
    var checkpoint = ""

    /** The worker that runs or may run [attempt]; null if the task is not assigned. */
    var worker: WorkerKey? = null

    /** Id of the start command; null until it is sent. */
    var startCommand: CommandId? = null

    /** Whether a list of [worker] has shown the attempt, so that it runs on no other incarnation of the worker. */
    var isListed = false

    /** Why the attempt is being stopped; null if it is not. */
    var stopCause: String? = null

    /** The last stop command for the attempt; null if this owner has sent none. */
    var lastStop: SentStop? = null

    /** Instances on which the task failed or was slow, or that rejected it. */
    var avoidedInstances: Set<String> = emptySet()

    /** Since when a long-running task waits for a worker; null if it does not, or was not placed in vain yet. */
    var waitingSince: Long? = null

    /** Number of moves because the task was throttled. */
    var moves = 0

    var assignedAt = 0L

    /** Run time of the successful attempt, in milliseconds; 0 if unknown. */
    var completedRunMillis = 0L
    var percent = 0
        private set

    /** Last reported [RunningAttempt.load]; null until a measurement covers only the running time of the attempt. */
    var load: Long? = null

    /** CPU share granted to a backfill task, in percent; 100 is unthrottled, null unknown. */
    var share: Int? = FULL_PERCENT
        private set

    /**
     * Whether the current attempt was or may have been throttled, so that its progress does not indicate the speed
     * of its worker.
     */
    var wasThrottled = false
        private set

    /** Time of the first report of the current attempt; null until then. */
    var firstReportedAt: Long? = null
        private set

    /** Progress in the first report of the current attempt, in percent. */
    var initialPercent = 0
        private set

    /** Time of the last report of the current attempt. */
    var lastReportedAt = 0L
        private set

    /** Time of the last report in which [percent] changed, or of the first report. */
    var lastProgressAt = 0L
        private set

    /** CPU usage of a task without latency target, or its demand until measured, in thousandths of a core. */
    val usedCpu: Long get() = load ?: spec.demand.cpuMillis

    /** CPU usage of a backfill task at its full share, in thousandths of a core. */
    val fullShareCpu: Long get() = load?.takeIf { share == FULL_PERCENT } ?: spec.demand.cpuMillis

    val isWaiting: Boolean get() = !done && worker == null

    /** Records the progress reported at [now], in percent. */
    fun recordProgress(percent: Int, now: Long) {
        val isFirst = firstReportedAt == null
        if (isFirst) {
            firstReportedAt = now
            initialPercent = percent
        }
        if (isFirst || percent != this.percent) lastProgressAt = now
        lastReportedAt = now
        this.percent = percent
    }

    /** Records the reported share; null if unknown, which says nothing about a task without shares. */
    fun recordShare(percent: Int?) {
        if (percent == null && !spec.backfill) return
        share = percent
        if (percent == null || percent < MIN_UNTHROTTLED_SHARE) wasThrottled = true
    }

    /** Resets the state of the current attempt. The task waits for its next attempt unless it is [done]. */
    fun release() {
        worker = null
        startCommand = null
        isListed = false
        stopCause = null
        lastStop = null
        waitingSince = null
        percent = 0
        firstReportedAt = null
        load = null
        share = FULL_PERCENT
        wasThrottled = false
    }

    private companion object {
        const val FULL_PERCENT = 100

        /** Share in percent below which a backfill task counts as throttled. */
        const val MIN_UNTHROTTLED_SHARE = 80
    }
}

/** Identifies a command by the connection that it was sent on and its number there. */
internal data class CommandId(val session: Long, val number: Long) {
    companion object {
        /** Replaces the connection of a command that an earlier owner may have sent. */
        const val EARLIER_OWNER = -1L
    }
}

/** A stop command that was sent on connection [session], [at] a time in milliseconds. */
internal data class SentStop(val session: Long, val at: Long)
