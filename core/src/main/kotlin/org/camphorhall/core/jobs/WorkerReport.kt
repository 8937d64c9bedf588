package org.camphorhall.core.jobs

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** What an agent reports of its worker. */
@Serializable
public data class WorkerReport(
    val profile: WorkerProfile,
    /** Everything that the worker runs, unless the report is not [isComplete]. */
    val running: List<RunningAttempt> = emptyList(),
    /** Ends that the scheduler has not acknowledged yet, in the order of their numbers. */
    val ended: List<AttemptEnd> = emptyList(),
    /** Starts that the worker refused and that surely did not run, since the last report. */
    @SerialName("refused") val rejected: List<RejectedStart> = emptyList(),
    /** All orders up to this number were carried out before the lists were read. */
    @SerialName("ordersDone") val lastCompletedCommand: Long = 0,
    /** Whether the worker answered lately. */
    val reachable: Boolean = true,
    /** Whether the worker process is gone: nothing listens at its address. */
    @SerialName("gone") val terminated: Boolean = false,
    /** Whether the worker calls itself healthy. */
    val healthy: Boolean = true,
    /** Time of the lists on the worker's clock, in milliseconds; 0 if unknown. */
    val listedAtMillis: Long = 0,
    /** Upper bound of the time that leases granted to the worker still last, in milliseconds. */
    @SerialName("leaseLeftMillis") val remainingLeaseMillis: Long = 0,
    /** Whether the report lists what the worker runs; a report between two regular ones has only news. */
    val isComplete: Boolean = true,
)

/** A start that the worker refused; the attempt surely never runs. */
@Serializable
public data class RejectedStart(
    val task: TaskRef,
    val attempt: Int,
    val reason: String,
    /** Whether the worker refused because it is unhealthy. */
    val unhealthy: Boolean = false,
)
