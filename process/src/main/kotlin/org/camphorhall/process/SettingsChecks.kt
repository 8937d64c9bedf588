package org.camphorhall.process

/** Collects the problems of one settings object; [block] calls the checks of [SettingsChecks]. */
public fun checkSettings(block: SettingsChecks.() -> Unit): List<SettingsProblem> =
    SettingsChecks().apply(block).problems

/** Checks of single values. Each adds a [SettingsProblem] if the value is invalid. */
public class SettingsChecks internal constructor() {
    private val found = mutableListOf<SettingsProblem>()

    /** The problems found so far, in the order of the checks. */
    public val problems: List<SettingsProblem> get() = found.toList()

    /** Requires [value] to be greater than zero. */
    public fun positive(path: String, value: Number): Unit =
        holds(path, value.toDouble() > 0, value.toString(), "a number greater than 0")

    /** Requires [value] to be in [range]. */
    public fun <T : Comparable<T>> range(path: String, value: T, range: ClosedRange<T>): Unit =
        holds(path, value in range, value.toString(), "${range.start} to ${range.endInclusive}")

    /** Requires [value] to be `host:port` with a port from [minPort] (0 means any free port) to 65535. */
    public fun address(path: String, value: String, minPort: Int = 1) {
        val port = value.substringAfterLast(':', "").toIntOrNull()
        val host = value.substringBeforeLast(':', "")
        val ok = port != null && port in minPort..65_535 && host.isNotBlank() && host.none { it.isWhitespace() }
        holds(path, ok, "\"$value\"", "host:port with a port from $minPort to 65535")
    }

    /** Requires [value] to contain a character other than white space. */
    public fun notBlank(path: String, value: String): Unit =
        holds(path, value.isNotBlank(), "\"$value\"", "a string that is not blank")

    /** Requires [ok]; otherwise adds a problem with the value [found] and a description of [valid] values. */
    public fun holds(path: String, ok: Boolean, found: String, valid: String) {
        if (!ok) this.found += SettingsProblem(path, found, valid)
    }
}
