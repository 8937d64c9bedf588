package org.camphorhall.scheduler.support

/** Clocks of the process, in milliseconds. */
internal interface Clock {
    /** Monotonic time. It may not advance while the machine is suspended. */
    fun steady(): Long

    /** Time since the Unix epoch. It may jump forward or back. */
    fun wall(): Long
}

internal object SystemClock : Clock {
    override fun steady(): Long = System.nanoTime() / NANOS_PER_MILLI

    override fun wall(): Long = System.currentTimeMillis()

    private const val NANOS_PER_MILLI = 1_000_000L
}

/** Reading of both clocks, used to detect a later suspension of the machine. */
internal class ClockReading(private val clock: Clock) {
    val steady: Long = clock.steady()
    private val wall: Long = clock.wall()

    /**
     * Whether the machine may have been suspended since this reading: the wall clock advanced further than the steady
     * clock. A forward jump of the wall clock cannot be distinguished from a suspension.
     */
    fun mayHaveBeenSuspended(): Boolean = (clock.wall() - wall) - (clock.steady() - steady) > TOLERANCE_MILLIS

    private companion object {
        /** Corrections of the wall clock are smaller than this. */
        const val TOLERANCE_MILLIS = 200L
    }
}
