package org.camphorhall.dev.backend

import kotlinx.serialization.Serializable

/** Counts how often each request id ran and how many requests ran or waited at once. Safe for concurrent use. */
internal class RequestCounts {
    private val runs = LinkedHashMap<String, Int>()
    private var total = 0L
    private var dropped = 0L
    private var running = 0
    private var waiting = 0
    private var maxRunning = 0
    private var maxWaiting = 0
    private var leaveNoticeNanos: Long? = null
    private var afterLeave = 0L
    private var lastAfterLeaveNanos = 0L

    /** Requests that run or wait for a slot. */
    @get:Synchronized
    val inFlight: Int get() = running + waiting

    @Synchronized
    fun recordArrival(now: Long) {
        maxWaiting = maxOf(maxWaiting, ++waiting)
        leaveNoticeNanos?.let {
            afterLeave++
            lastAfterLeaveNanos = now - it
        }
    }

    @Synchronized
    fun recordStart(id: String) {
        waiting--
        maxRunning = maxOf(maxRunning, ++running)
        total++
        runs.merge(id, 1, Int::plus)
        if (runs.size > MAX_IDS) {
            runs.remove(runs.keys.first())
            dropped++
        }
    }

    @Synchronized
    fun recordEnd() {
        running--
    }

    /** Records when the leave notice was sent. */
    @Synchronized
    fun recordLeaveNotice(now: Long) {
        leaveNoticeNanos = now
    }

    @Synchronized
    fun report(): Report = Report(
        total,
        runs.toMap(),
        runs.filterValues { it > 1 },
        dropped,
        running,
        maxRunning,
        maxWaiting,
        afterLeave,
        lastAfterLeaveNanos / NANOS_PER_MILLI,
    )

    @Serializable
    class Report(
        val total: Long,
        /** Runs of each request id. */
        val runs: Map<String, Int>,
        /** The request ids that ran more than once. */
        val repeated: Map<String, Int>,
        /** Request ids that no longer fit [runs]. */
        val dropped: Long,
        val running: Int,
        val maxRunning: Int,
        val maxWaiting: Int,
        /** Requests that arrived after the leave notice. */
        val afterLeave: Long,
        /** Time from the leave notice to the last of them. */
        val lastAfterLeaveMillis: Long,
    )

    private companion object {
        // About 8 MB, so that a long load run stays in a heap of 32 MB.
        const val MAX_IDS = 50_000
        const val NANOS_PER_MILLI = 1_000_000L
    }
}
