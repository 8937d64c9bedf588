package org.camphorhall.core.jobs.replay

/** A load of serving tasks and backfill jobs on shared workers. CPU is in thousandths of a core. */
internal data class ReplayLoad(
    val workers: List<Long>,
    val servingJobs: Int,
    val servingTasks: Int,
    val servingCpu: Long,
    val servingImages: Int = 5,
    val backfillImages: Int = 9,
    /** Fraction of the image pairs with strong interference. */
    val strongPairs: Double = 0.55,
    /** Slowdown of a serving task per whole worker used by backfill tasks, with strong and with weak interference. */
    val strong: Double = 3.5,
    val weak: Double = 0.25,
    val unloadedMillis: Double = 20.0,
    val targetMillis: Long = 100,
    /** Mean utilization of a serving task, its amplitude as a fraction of the mean, and its period. */
    val utilization: Double = 0.45,
    val amplitude: Double = 0.5,
    val periodMillis: Long = 20_000,
    /** Mean time between two backfill jobs, outside and during the burst. */
    val batchEveryMillis: Long = 1_700,
    val burstEveryMillis: Long = 1_100,
    val burstFrom: Long = 12_000,
    val burstUntil: Long = 18_000,
    val batchTasks: Int = 7,
    val batchCpu: Long = 3_500,
    val batchMillis: Long = 2_300,
    /** Duration of the arrival of backfill jobs. */
    val arrivalMillis: Long = 34_000,
)

/** Results of a replay. */
internal data class ReplayResult(
    /** Achieved fraction of the value of backfill jobs: 15 % after the target, none after three times the target. */
    val batch: Double,
    /** Score of the serving tasks, at most 1; see [ReplayCluster.servingScore]. */
    val serving: Double,
    /** Total time of serving tasks over their target, in seconds. */
    val overTargetSeconds: Double,
    /** Longest continuous time of one serving task over its target, in milliseconds. */
    val longestOverMillis: Long,
    val stops: Int,
    /** Number of backfill jobs that did not finish. */
    val unfinished: Int,
)
