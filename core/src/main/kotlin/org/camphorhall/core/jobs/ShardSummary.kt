package org.camphorhall.core.jobs

/** Counts of a [JobShard] at one time. CPU is in thousandths of a core, and of usable workers only. */
public data class ShardSummary(
    val workers: Int,
    val usableWorkers: Int,
    val activeJobs: Int,
    val waitingJobs: Int,
    val runningTasks: Int,
    val cpuMillis: Long,
    val reservedCpuMillis: Long,
    val backfillCpuMillis: Long,
    /** Jobs whose current state is not stored yet. */
    val unsavedJobs: Int,
    /** Checks whether a waiting task fits on a worker, counted since the shard was loaded: the cost of placement. */
    val fitChecks: Long,
)
