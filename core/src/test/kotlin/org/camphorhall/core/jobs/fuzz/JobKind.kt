package org.camphorhall.core.jobs.fuzz

import org.camphorhall.core.jobs.EndCause
import org.camphorhall.core.jobs.JobPhase
import org.camphorhall.core.jobs.JobRecord
import org.camphorhall.core.jobs.ShardHarness

/** How the tasks of a job end if they are not stopped. The payload of a job is the name of its kind. */
internal enum class JobKind(private val maxAttempts: Int, val finalPhases: Set<JobPhase>) {
    Finite(1_000, setOf(JobPhase.Completed)),

    /** Half of the attempts fail, and few failures end the job. */
    Failing(2, setOf(JobPhase.Completed, JobPhase.Failed)),

    /** The tasks run until the job is cancelled. */
    LongRunning(1_000, emptySet()),
    ;

    /** A job of one or two steps. Members of a gang run independently, so that a job can end while some of them run. */
    fun newJob(sim: Simulation, id: String): JobRecord {
        val isLongRunning = this == LongRunning
        val steps = List(if (isLongRunning) 1 else sim.random.nextInt(1, 3)) { i ->
            ShardHarness.step(sim.random.nextInt(1, 4), after = if (i == 0) emptyList() else listOf(i - 1))
                .copy(longRunning = isLongRunning, gang = !isLongRunning && sim.chance(15))
        }
        val job = ShardHarness.record(steps, id, maxAttempts)
        return job.copy(spec = job.spec.copy(payload = name))
    }

    fun newWork(sim: Simulation): Work {
        val millis = if (sim.chance(75)) sim.between(200, 6_000) else sim.between(6_000, 12_000)
        return when (this) {
            Finite -> Work(millis, EndCause.Done)
            Failing -> Work(millis, if (sim.chance(50)) EndCause.Failed else EndCause.Done)
            LongRunning -> Work(FOREVER_MILLIS, EndCause.Done)
        }
    }

    companion object {
        private const val FOREVER_MILLIS = 1_000_000_000L

        fun random(sim: Simulation): JobKind = when (sim.random.nextInt(10)) {
            in 0..5 -> Finite
            in 6..7 -> Failing
            else -> LongRunning
        }
    }
}

/** Work of one attempt that ends after [millis] with [cause]. */
internal class Work(val millis: Long, val cause: EndCause)
