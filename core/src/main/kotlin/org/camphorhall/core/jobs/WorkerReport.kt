package org.camphorhall.core.jobs

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A report of an agent on its worker. */
@Serializable
public data class WorkerReport(
    val profile: WorkerProfile,
    /** All attempts that the worker runs; empty unless the report [isComplete]. */
    val running: List<RunningAttempt> = emptyList(),
    /** Ends that the scheduler has not acknowledged, ordered by number. */
    val ended: List<AttemptEnd> = emptyList(),
    /** Whether more attempts have ended than the worker listed, so that one in neither list may have ended. */
    val hasMoreEnds: Boolean = false,
    /** Recently rejected starts. The same rejection may be reported several times. */
    @SerialName("refused") val rejected: List<RejectedStart> = emptyList(),
    /** All commands up to this number were completed before [running] and [ended] were read. */
    @SerialName("ordersDone") val lastCompletedCommand: Long = 0,
    /** Whether the worker has responded within the timeout of the agent. */
    val reachable: Boolean = true,
    /** Whether the worker process has terminated: another incarnation responds at its address. */
    @SerialName("gone") val terminated: Boolean = false,
    /** Self-reported health of the worker. */
    val healthy: Boolean = true,
    /** Time at which [running] and [ended] were read, on the worker's clock, in milliseconds; 0 if unknown. */
    val listedAtMillis: Long = 0,
    /** Upper bound of the remaining lease of the worker, in milliseconds. */
    @SerialName("leaseLeftMillis") val remainingLeaseMillis: Long = 0,
    /**
     * Attempts whose starts another incarnation of the worker may have executed, so that they may run longer than
     * [remainingLeaseMillis] unless they are listed; null if any start may have been executed there.
     */
    val unconfirmedStarts: List<StartedAttempt>? = null,
    /** Whether the report contains [running]; additional reports between the periodic ones contain only changes. */
    val isComplete: Boolean = true,
    /** Number of the connection that the report was made for; greater on each later connection for the same worker. */
    val connection: Long = 0,
)

/** A start that was rejected by the worker or its agent; the attempt is guaranteed not to run. */
@Serializable
public data class RejectedStart(
    val task: TaskRef,
    val attempt: Int,
    val reason: String,
    /** Whether the worker rejected the start because it is unhealthy. */
    val unhealthy: Boolean = false,
)
