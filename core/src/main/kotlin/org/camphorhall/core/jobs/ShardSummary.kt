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
    /** Usable workers that get no tasks, because their failure domain is evacuated or the state is not recent. */
    val evacuatedWorkers: Int = 0,
    /** Jobs that are deferred because others that need less room would miss their targets. */
    val deferredJobs: Int = 0,
)
