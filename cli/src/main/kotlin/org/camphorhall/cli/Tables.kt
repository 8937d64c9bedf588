package org.camphorhall.cli

import com.github.ajalt.clikt.core.CliktCommand

private const val COLUMN_SEPARATOR = "  "

/**
 * Prints [rows] under the column names [header], null as a dash. Each column is as wide as its longest cell. Mordant's
 * tables are not used, because they truncate ids and numbers at the terminal width, which is 79 in a pipe.
 */
internal fun CliktCommand.printTable(header: List<String>, rows: List<List<Any?>>) {
    val lines = listOf(header) + rows.map { r -> r.map { it?.toString() ?: "-" } }
    val widths = header.indices.map { i -> lines.maxOf { it[i].length } }
    lines.forEach { l ->
        echo(l.mapIndexed { i, cell -> cell.padEnd(widths[i]) }.joinToString(COLUMN_SEPARATOR).trimEnd())
    }
}
