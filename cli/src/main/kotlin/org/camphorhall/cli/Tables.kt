package org.camphorhall.cli

import com.github.ajalt.clikt.core.CliktCommand

private const val COLUMN_SEPARATOR = "  "

/**
 * Prints [rows] under the column names [header], null as a dash. Columns are as wide as their longest cell: Mordant's
 * tables cut cells off at the width of the terminal, 79 in a pipe, and so lose ids and numbers.
 */
internal fun CliktCommand.printTable(header: List<String>, rows: List<List<Any?>>) {
    val lines = listOf(header) + rows.map { r -> r.map { it?.toString() ?: "-" } }
    val widths = header.indices.map { i -> lines.maxOf { it[i].length } }
    lines.forEach { l ->
        echo(l.mapIndexed { i, cell -> cell.padEnd(widths[i]) }.joinToString(COLUMN_SEPARATOR).trimEnd())
    }
}
