package org.camphorhall.process

/** Exit status of a program. The numbers are documented and do not change. */
public enum class ExitCode(public val status: Int, public val meaning: String) {
    /** The command succeeded, or the program stopped gracefully. */
    Ok(0, "ok"),

    /** The program failed while running. */
    RuntimeFailure(1, "runtime failure"),

    /** The command line is invalid. */
    Usage(2, "usage error"),

    /** The settings file is missing or invalid. */
    InvalidSettings(3, "invalid settings"),

    /** The program could not bind an address or reach a service that it needs at start. */
    CouldNotStart(4, "could not bind an address or reach a required service"),
}
