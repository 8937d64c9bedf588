package org.camphorhall.scheduler.support

/** Limits a log message that any peer can cause to one per second, and counts those it leaves out. */
internal class LogLimit(private val clock: Clock) {
    private var loggedAt: Long? = null
    private var suppressed = 0L

    /** Calls [write] with the number of messages left out since the last one, or counts this one as left out. */
    @Synchronized
    fun log(write: (suppressed: Long) -> Unit) {
        val now = clock.steady()
        if (loggedAt?.let { now - it < PERIOD_MILLIS } == true) {
            suppressed++
            return
        }
        loggedAt = now
        write(suppressed)
        suppressed = 0
    }

    private companion object {
        const val PERIOD_MILLIS = 1_000L
    }
}
