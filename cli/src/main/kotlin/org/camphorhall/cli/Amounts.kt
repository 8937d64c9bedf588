package org.camphorhall.cli

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import java.math.BigDecimal
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private const val DURATION_HELP = "a number above 0 with unit ms, s, m, h or d, such as 500ms, 2s or 1h 30m"
private const val MEMORY_HELP = "a number with unit MiB, GiB or TiB that amounts to whole MiB, such as 512MiB or 8GiB"
private const val CPU_HELP = "a number of cores to three decimals, such as 4 or 0.25"

private val MEMORY_PATTERN = Regex("""(\d+(?:\.\d+)?) ?([A-Za-z]*)""")
private val CORES_PATTERN = Regex("""\d+(?:\.\d+)?""")
private val MIB_PER_UNIT = mapOf("MiB" to 1L, "GiB" to 1024L, "TiB" to 1024L * 1024L)

/** Parses a duration of at least 1 ms into whole milliseconds; the error text states the valid format. */
internal fun parseMillis(text: String): Either<String, Long> {
    val millis = Duration.parseOrNull(text)?.takeIf { it.isFinite() }
        ?.let { d -> d.inWholeMilliseconds.takeIf { it > 0 && it.milliseconds == d } }
    return millis?.right() ?: "invalid duration \"$text\"; valid: $DURATION_HELP".left()
}

/** Parses an amount of memory into whole MiB; the error text states the valid format. */
internal fun parseMib(text: String): Either<String, Long> {
    val (number, unit) = MEMORY_PATTERN.matchEntire(text)?.destructured
        ?: return "invalid size \"$text\"; valid: $MEMORY_HELP".left()
    val factor = MIB_PER_UNIT[unit]
        ?: return "${if (unit.isEmpty()) "missing" else "unknown"} unit in size \"$text\"; valid: $MEMORY_HELP".left()
    return longValueOrNull(BigDecimal(number) * factor.toBigDecimal())?.right()
        ?: "invalid size \"$text\"; valid: $MEMORY_HELP".left()
}

/** Parses a number of cores into thousandths of a core; the error text states the valid format. */
internal fun parseCpuMillis(text: String): Either<String, Long> =
    text.takeIf { CORES_PATTERN.matches(it) }?.let { longValueOrNull(BigDecimal(it).movePointRight(3)) }?.right()
        ?: "invalid number of cores \"$text\"; valid: $CPU_HELP".left()

/** Formats [millis] as a duration that [parseMillis] accepts, except for values below 1 ms. */
internal fun formatMillis(millis: Long): String = millis.milliseconds.toString()

private fun longValueOrNull(n: BigDecimal): Long? = try {
    n.longValueExact()
} catch (e: ArithmeticException) {
    null
}
