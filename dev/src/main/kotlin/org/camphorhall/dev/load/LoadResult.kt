package org.camphorhall.dev.load

import kotlinx.serialization.Serializable

/** Measurements of a load run. Latency is measured from the intended send time of each request. */
@Serializable
internal class LoadResult(
    val seed: Long,
    val durationMillis: Long,
    val sent: Long,
    /** Maximum delay of a send after its intended time; a large value indicates an overloaded generator. */
    val maxSendLagMillis: Double,
    val classes: Map<String, ClassResult>,
) {
    @Serializable
    class ClassResult(
        val sent: Long,
        /** Number of requests by outcome, followed by the reason if there is one, such as `not-run/queue-full`. */
        val outcomes: Map<String, Long>,
        /** Latency of completed requests in milliseconds; null if no request completed. */
        val latencyMillis: Latency?,
    )

    @Serializable
    class Latency(val p50: Double, val p90: Double, val p99: Double, val p999: Double, val max: Double)

    /** Formats a table with one block per class. */
    fun table(): String = buildString {
        appendLine("sent $sent in $durationMillis ms, seed $seed, longest send lag ${millis(maxSendLagMillis)} ms")
        appendLine(row("class", listOf("sent", "p50 ms", "p90 ms", "p99 ms", "p99.9 ms", "max ms")))
        for ((name, c) in classes) {
            val l = c.latencyMillis
            val latency = listOf(l?.p50, l?.p90, l?.p99, l?.p999, l?.max).map { it?.let(::millis) ?: "-" }
            appendLine(row(name, listOf(c.sent.toString()) + latency))
            c.outcomes.forEach { (outcome, count) -> appendLine(row("  $outcome", listOf(count.toString()))) }
        }
    }

    private fun millis(value: Double) = "%.2f".format(java.util.Locale.ROOT, value)

    private fun row(name: String, cells: List<String>) =
        name.padEnd(NAME_WIDTH) + cells.joinToString("") { it.padStart(CELL_WIDTH) }
}

// Not in a private companion object: the serialization plugin adds serializer() to it, which must be accessible.
private const val NAME_WIDTH = 34
private const val CELL_WIDTH = 11
