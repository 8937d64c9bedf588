package org.camphorhall.core.jobs

/** What a worker with serving and backfill tasks reported at one time. */
internal class SharedFigure(
    /** Greatest tail latency of the serving tasks as a part of its target. */
    val pressure: Double,
    /** Parts of the worker's processors that backfill tasks use, by image. */
    val use: Map<String, Double>,
    /** The serving tasks; figures with others cannot be compared. */
    val serving: Set<TaskRef>,
)
