package org.camphorhall.dev.load

import kotlin.time.Duration

/** Part of a load run with a constant rate. */
internal data class RateStep(val requestsPerSecond: Double, val duration: Duration) {
    init {
        require(requestsPerSecond > 0) { "the rate must be above 0" }
        require(duration > Duration.ZERO) { "the duration must be above 0" }
    }

    companion object {
        /** Parses steps such as `20x5s,60x5s,20x5s`. Throws [IllegalArgumentException] if [text] is malformed. */
        fun parse(text: String): List<RateStep> = text.split(',').map { step ->
            val parts = step.trim().split('x')
            val rate = parts.first().toDoubleOrNull()
            val duration = parts.getOrNull(1)?.let(Duration::parseOrNull)
            require(parts.size == 2 && rate != null && duration != null) { "\"$step\" is not of the form 20x5s" }
            RateStep(rate, duration)
        }
    }
}
