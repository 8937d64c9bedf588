package org.camphorhall.entry

import org.camphorhall.core.model.ClockReading
import org.camphorhall.core.model.MonotonicInstant

/** Clocks of the process. */
internal class Clocks(
    private val nanos: () -> Long = System::nanoTime,
    private val millis: () -> Long = System::currentTimeMillis,
) {
    fun mono(): MonotonicInstant = MonotonicInstant(nanos())

    fun now(): ClockReading = ClockReading(mono(), millis())
}
