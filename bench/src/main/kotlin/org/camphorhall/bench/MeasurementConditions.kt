package org.camphorhall.bench

import java.nio.file.Path

/** Default output directory of the result tables. */
internal val measurementsDirectory: Path = Path.of("docs", "measurements")

/** Conditions of a wall-clock measurement. */
internal val machineConditions: String =
    "Wall time of single calls on a machine that other builds shared: " +
        "${Runtime.getRuntime().availableProcessors()} processors, Java ${System.getProperty("java.version")}, " +
        "serial collector. Percentiles include pauses of the machine."

/** Conditions of a measurement in virtual time. */
internal fun virtualConditions(seeds: List<Long>): String =
    "Virtual time; seeds ${seeds.joinToString(", ")}. A spread is given as median (minimum to maximum)."
