package org.camphorhall.cli

/** How a command prints its result. */
internal enum class OutputFormat { Table, Json }
