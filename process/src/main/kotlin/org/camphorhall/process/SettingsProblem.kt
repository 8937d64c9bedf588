package org.camphorhall.process

/** An error in a settings file: its path, the value found there and a description of valid values. */
public data class SettingsProblem(
    /** Path of the field, for example `listen.port` or `seeds[1]`; empty for the whole file. */
    val path: String,
    val found: String,
    val valid: String,
) {
    override fun toString(): String = "${path.ifEmpty { "(file)" }}: found $found; valid: $valid"
}
