package org.camphorhall.core.jobs

/**
 * Judges a worker by how the attempts on it end. A task that can never succeed fails everywhere, so only one failure
 * for each job counts.
 */
internal class WorkerHealth {
    private val recent = ArrayDeque<Boolean>()
    private var lastFailedJob: String? = null
    private var suspectUntil = 0L

    fun noteDone() {
        add(true)
        if (recent.count { !it } * 2 <= recent.size) suspectUntil = 0
    }

    fun noteFailed(job: String, now: Long) {
        if (job == lastFailedJob) return
        lastFailedJob = job
        add(false)
        val failed = recent.count { !it }
        if (failed >= MIN_FAILURES && failed * 2 > recent.size) suspectUntil = now + QUARANTINE_MILLIS
    }

    /** Notes that the worker runs tasks far slower than others, or not at all. */
    fun noteSlow(now: Long) {
        suspectUntil = now + QUARANTINE_MILLIS
    }

    /** Whether the worker fails most of what it starts; it gets one task at a time then, after a pause. */
    fun isSuspect(now: Long): Boolean = suspectUntil > now

    private fun add(ok: Boolean) {
        recent += ok
        if (recent.size > WINDOW) recent.removeFirst()
    }

    private companion object {
        /** Ends that are looked at. */
        const val WINDOW = 6

        /** One failure can be the task's own fault; two jobs in a row point at the worker. */
        const val MIN_FAILURES = 2

        /** Pause before a worker that fails is tried again, in milliseconds. */
        const val QUARANTINE_MILLIS = 4_000L
    }
}
