package org.camphorhall.scheduler.support

/** Limits messages that can come in great numbers to [lines] per second, and counts those that it leaves out. */
internal class LogLimit(private val clock: Clock, private val lines: Int = 1) {
    private var periodStart: Long? = null
    private var written = 0
    private var suppressed = 0L

    /** Calls [write] with the number of messages left out since the last one, or counts this one as left out. */
    @Synchronized
    fun log(write: (suppressed: Long) -> Unit) {
        val now = clock.steady()
        if (periodStart?.let { now - it < PERIOD_MILLIS } != true) {
            periodStart = now
            written = 0
        }
        if (written == lines) {
            suppressed++
            return
        }
        written++
        write(suppressed)
        suppressed = 0
    }

    companion object {
        /** For the lines of stops, of which a job has one for each task. */
        const val STOP_LINES = 50

        private const val PERIOD_MILLIS = 1_000L
    }
}
