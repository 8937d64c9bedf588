package org.camphorhall.cli

/** Options given before the command name. Options after the command name override them. */
internal data class RootOptions(val entries: List<String>, val output: OutputFormat?)
