package org.camphorhall.core.jobs

/** A task in the memory of its shard's owner. */
internal class TrackedTask(val ref: TaskRef, val spec: StepSpec) {
    var done = false
    var attempt = 0
    var failures = 0
    var checkpoint = ""

    /** The worker that runs or may run [attempt]; null if none does. */
    var worker: WorkerKey? = null

    /** Connection and number of the start order; null until the order was sent. */
    var startCommand: CommandId? = null

    /** When the last stop order was sent; null if the attempt is not being stopped. */
    var stopSentAt: Long? = null

    /** Instances on which the task failed, or that refused it. */
    var avoidedInstances: Set<String> = emptySet()

    /** Number of times that the task was moved to another worker. */
    var moves = 0

    var assignedAt = 0L

    /** Run time of the attempt that ended done, in milliseconds; 0 if unknown. */
    var completedRunMillis = 0L
    var percent = 0
        private set

    /** The last figure of its worker for the attempt; null until there is one that covers only the attempt. */
    var load: Long? = null

    /** Share of its processors that a backfill task gets, in percent. */
    var share = FULL_PERCENT
        private set

    /** Whether the present attempt was slowed down so much that its progress says nothing of its worker. */
    var wasThrottled = false
        private set

    /** When the worker first listed the present attempt; null until then. */
    var firstReportedAt: Long? = null
        private set

    /** Percentage with which the worker first listed the present attempt. */
    var initialPercent = 0
        private set

    /** When the worker listed the present attempt last. */
    var lastReportedAt = 0L
        private set

    /** When [percent] was seen to change last, or when the worker first listed the attempt. */
    var lastProgressAt = 0L
        private set

    /** Processors that a task without target uses, or its demand until they are known, in thousandths of a core. */
    val usedCpu: Long get() = load ?: spec.demand.cpuMillis

    /** Processors that a backfill task uses with its full share, in thousandths of a core. */
    val fullShareCpu: Long get() = load?.takeIf { share == FULL_PERCENT } ?: spec.demand.cpuMillis

    val isWaiting: Boolean get() = !done && worker == null

    /** Takes the progress that the worker lists at [now]. */
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

    /** Takes the share that the agent reports. */
    fun recordShare(percent: Int) {
        share = percent
        if (percent < MIN_FAIR_SHARE) wasThrottled = true
    }

    /** Takes the task from its worker; it waits for the next attempt unless it is [done]. */
    fun release() {
        worker = null
        startCommand = null
        stopSentAt = null
        percent = 0
        firstReportedAt = null
        load = null
        share = FULL_PERCENT
        wasThrottled = false
    }

    private companion object {
        const val FULL_PERCENT = 100

        /** A backfill task with a smaller share is slow by order, in percent. */
        const val MIN_FAIR_SHARE = 80
    }
}

/** A start order: the connection to the agent and the number of the order on it. */
internal data class CommandId(val session: Long, val number: Long) {
    companion object {
        /** Stands for the connection on which an earlier owner sent an order. */
        const val EARLIER_OWNER = -1L
    }
}
