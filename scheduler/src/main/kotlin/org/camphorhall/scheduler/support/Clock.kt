package org.camphorhall.scheduler.support

/** Clocks of the process, in milliseconds. */
internal interface Clock {
    /** Steady time. It may stand still while the machine is suspended. */
    fun steady(): Long

    /** Time since 1970. It may jump. */
    fun wall(): Long
}

/** The clocks of the machine. */
internal object SystemClock : Clock {
    override fun steady(): Long = System.nanoTime() / NANOS_PER_MILLI

    override fun wall(): Long = System.currentTimeMillis()

    private const val NANOS_PER_MILLI = 1_000_000L
}

/** A reading of both clocks, to find out whether the machine was suspended since. */
internal class ClockReading(private val clock: Clock) {
    val steady: Long = clock.steady()
    private val wall: Long = clock.wall()

    /**
     * Whether the machine may have been suspended since this reading: the time of day went further than the steady
     * clock. A forward jump of the time of day looks the same.
     */
    fun mayHaveBeenSuspended(): Boolean = (clock.wall() - wall) - (clock.steady() - steady) > TOLERANCE_MILLIS

    private companion object {
        /** Corrections of the time of day stay under this. */
        const val TOLERANCE_MILLIS = 200L
    }
}
