package org.camphorhall.core.jobs

/**
 * Forecasts whether the new job [spec] of [jobClass] can end while its result is useful, given the [load] of its shard.
 *
 * Load pattern: more work arrives than the room can do for longer than the jobs can wait, so that a job accepted now
 * would take room and end when nobody needs it. Accepted work of the same or a more urgent class that has to end before
 * the new job comes first, and is never given up for it. The larger the job, the sooner it is turned away, since it
 * would delay the most other work. Backfill work takes no room from work that reserves its CPU.
 */
public fun forecastAdmission(spec: JobSpec, jobClass: JobClass, load: ShardLoad): AdmissionForecast {
    // The times of a repeated job are its own, and its work spreads over them.
    if (spec.repeat != null || spec.steps.any { it.longRunning }) return AdmissionForecast.Useful
    val room = if (spec.isBackfill) load.backfill else load.reservable
    if (room <= 0) return AdmissionForecast.Useful
    val path = spec.criticalPathMillis { true }
    val target = targetMillis(path, jobClass)
    val useful = target * MAX_USEFUL_TARGETS
    val ahead = load.work.sumOf { due ->
        val isBefore = due.priority < jobClass.priority ||
            due.priority == jobClass.priority && due.withinMillis <= useful
        if (isBefore && (spec.isBackfill || !due.isBackfill)) due.work else 0.0
    }
    val end = maxOf(path, millisFor(ahead + spec.work(), room))
    return if (end <= useful) AdmissionForecast.Useful else AdmissionForecast.TooLate(end, useful)
}
