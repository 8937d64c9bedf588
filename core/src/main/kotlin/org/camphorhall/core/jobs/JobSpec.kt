package org.camphorhall.core.jobs

import kotlinx.serialization.Serializable
import org.camphorhall.core.model.Resources

/**
 * A job as submitted: [payload] is passed to every task; the [steps] run once, or repeatedly if [repeat] is set.
 * Throws [IllegalArgumentException] for a job that no owner can hold.
 */
@Serializable
public data class JobSpec(
    val payload: String,
    val steps: List<StepSpec>,
    val repeat: Repeat? = null,
) {
    /** Whether all tasks run on CPU that other tasks leave unused. */
    internal val isBackfill: Boolean get() = steps.all { it.backfill }

    /** Number of runs of the steps. */
    public val occurrences: Int get() = repeat?.count ?: 1

    init {
        require(occurrences > 0) { "the steps run $occurrences times" }
        require(steps.isNotEmpty()) { "job has no steps" }
        require(steps.all { it.tasks > 0 }) { "a step has no tasks" }
        require(steps.all { it.demand.isValid() }) { "the demand of a step is negative" }
        val tasks = steps.sumOf { it.tasks.toLong() } * occurrences
        require(tasks <= MAX_TASKS) { "job has $tasks tasks; valid: at most $MAX_TASKS" }
    }

    public companion object {
        /** Limits the memory that the owner of a job needs for it. */
        public const val MAX_TASKS: Int = 100_000
    }
}

/** A schedule: occurrence `k` is due at [firstAtMillis] + k x [intervalMillis], in milliseconds since 1970. */
@Serializable
public data class Repeat(
    val count: Int,
    val firstAtMillis: Long,
    val intervalMillis: Long,
)

/** A step of a job: [tasks] identical tasks, each with [demand], that start once all steps in [after] are done. */
@Serializable
public data class StepSpec(
    val tasks: Int,
    val demand: Resources,
    /** Rough estimate of the run time of a task, in milliseconds; 0 if unknown. */
    val estimateMillis: Long = 0,
    val after: List<Int> = emptyList(),
    /** Whether a stopped task can resume from a checkpoint. */
    val checkpoints: Boolean = false,
    /** Whether the tasks make progress only while all of them run. */
    val gang: Boolean = false,
    /** Whether the tasks slow down when they run on more than one rack. */
    val singleRack: Boolean = false,
    val requiredLabel: String? = null,
    val dataRack: String? = null,
    /** Maximum number of tasks of one occurrence of this step on one worker. */
    val maxPerWorker: Int? = null,
    /** Whether several attempts of a task may run in parallel. */
    val speculative: Boolean = false,
    /** Whether the tasks run until the job is cancelled. */
    val longRunning: Boolean = false,
    val image: String? = null,
    /** Upper bound of the tail latency of a long-running serving task, in milliseconds. */
    val latencyTargetMillis: Long? = null,
    /** Whether the tasks run on the CPU that other tasks leave idle; their CPU demand is not reserved. */
    val backfill: Boolean = false,
    /** Maximum number of tasks of a long-running step that the scheduler may make unavailable at the same time. */
    val maxUnavailable: Int? = null,
) {
    /** Whether the tasks serve requests with a latency target. */
    val isServing: Boolean get() = latencyTargetMillis != null

    /** The part of [demand] that is reserved on a worker. */
    val reserved: Resources get() = if (backfill) demand.copy(cpuMillis = 0) else demand
}

/** Estimated duration of the longest chain of dependent steps among those that [isIncluded], in milliseconds. */
internal fun JobSpec.criticalPathMillis(isIncluded: (step: Int) -> Boolean): Long {
    val ends = LongArray(steps.size)
    steps.forEachIndexed { i, s ->
        val own = if (isIncluded(i)) s.estimateMillis else 0L
        ends[i] = own + (s.after.filter { it in 0 until i }.maxOfOrNull { ends[it] } ?: 0L)
    }
    return ends.maxOrNull() ?: 0L
}

/** Estimated work of one run of the steps, in core-milliseconds. */
internal fun JobSpec.work(): Double = steps.sumOf { it.taskWork() * it.tasks }

/** Estimated work of a task, in core-milliseconds. */
internal fun StepSpec.taskWork(): Double = demand.cpuMillis.toDouble() * estimateMillis / MILLIS_PER_CORE

/** Target duration of a job of [jobClass] whose critical path is estimated as [pathMillis], in milliseconds. */
internal fun targetMillis(pathMillis: Long, jobClass: JobClass): Long =
    (jobClass.stretch * pathMillis).toLong() + jobClass.targetMillis

/** Time that [work], in core-milliseconds, takes in [room], in thousandths of a core. */
internal fun millisFor(work: Double, room: Long): Long =
    (work * MILLIS_PER_CORE / room).coerceAtMost(LONGEST_MILLIS).toLong()

/** Work, in core-milliseconds, that [room] thousandths of a core do in [millis]. */
internal fun workIn(millis: Long, room: Long): Double = millis.toDouble() * room / MILLIS_PER_CORE

private const val MILLIS_PER_CORE = 1_000

/** Three thousand years; a sum of it and a time does not overflow. */
private const val LONGEST_MILLIS = 1e14
