package org.camphorhall.dev.backend

import kotlinx.serialization.Serializable

/** Counts runs of each request id and concurrent running and waiting requests. Safe for concurrent use. */
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

    /** Number of requests that are running or waiting for a slot. */
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
        /** Number of runs by request id. */
        val runs: Map<String, Int>,
        /** Entries of [runs] that ran more than once. */
        val repeated: Map<String, Int>,
        /** Number of request ids that were removed from [runs] because it was full. */
        val dropped: Long,
        val running: Int,
        val maxRunning: Int,
        val maxWaiting: Int,
        /** Number of requests that arrived after the leave notice was sent. */
        val afterLeave: Long,
        /** Time from the leave notice to the last request that arrived after it. */
        val lastAfterLeaveMillis: Long,
    )

    private companion object {
        // About 8 MB of request ids, so that a long load run fits in a heap of 32 MB.
        const val MAX_IDS = 50_000
        const val NANOS_PER_MILLI = 1_000_000L
    }
}
