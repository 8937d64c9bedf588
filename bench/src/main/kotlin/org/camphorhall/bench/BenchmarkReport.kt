package org.camphorhall.bench

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import java.nio.file.Files
import java.nio.file.Path
import kotlin.math.abs

/** Result tables of one measurement, written as Markdown and as JSON. */
internal class BenchmarkReport(
    private val name: String,
    private val title: String,
    private val conditions: String,
) {
    private val rows = mutableListOf<List<Pair<String, Any>>>()

    fun row(vararg cells: Pair<String, Any>) {
        rows += cells.toList()
    }

    /** Writes `<name>.md` and `<name>.json` into [directory] and prints the table. */
    fun write(directory: Path) {
        Files.createDirectories(directory)
        val text = markdown()
        println(text)
        Files.writeString(directory.resolve("$name.md"), text)
        val json = JsonObject(
            mapOf(
                "title" to JsonPrimitive(title),
                "conditions" to JsonPrimitive(conditions),
                "rows" to JsonArray(rows.map { r -> JsonObject(r.associate { it.first to primitive(it.second) }) }),
            ),
        )
        Files.writeString(directory.resolve("$name.json"), pretty.encodeToString(JsonObject.serializer(), json) + "\n")
    }

    private fun markdown() = buildString {
        appendLine("# $title")
        appendLine()
        appendLine(conditions)
        // A new table starts where the columns change.
        var columns = emptyList<String>()
        for (r in rows) {
            if (r.map { it.first } != columns) {
                columns = r.map { it.first }
                appendLine()
                appendLine(columns.joinToString(" | ", "| ", " |"))
                appendLine(columns.joinToString(" | ", "| ", " |") { "---" })
            }
            appendLine(r.joinToString(" | ", "| ", " |") { format(it.second) })
        }
    }

    private fun primitive(v: Any) = if (v is Number) JsonPrimitive(v) else JsonPrimitive(v.toString())

    private companion object {
        val pretty = Json { prettyPrint = true }
    }
}

/** Formats a number with about three significant digits; other values with `toString`. */
internal fun format(v: Any): String = when {
    v !is Double -> v.toString()
    abs(v) >= 100 -> "%.0f".format(v)
    abs(v) >= 10 -> "%.1f".format(v)
    abs(v) >= 1 -> "%.2f".format(v)
    else -> "%.3f".format(v)
}

/** Median, minimum and maximum of one measurement over several seeds. */
internal data class Spread(val median: Double, val min: Double, val max: Double) {
    override fun toString(): String = "${format(median)} (${format(min)} to ${format(max)})"
}

internal fun spreadOf(values: List<Double>): Spread {
    val sorted = values.sorted()
    return Spread(sorted[sorted.size / 2], sorted.first(), sorted.last())
}
