package org.camphorhall.core.agent

import org.camphorhall.core.model.AttemptId
import org.camphorhall.core.model.BackendId
import org.camphorhall.core.model.MonotonicInstant
import org.camphorhall.core.model.RequestId
import org.camphorhall.core.model.RequestOutcome
import kotlin.time.Duration

/** An action that the agent's state machine requests from the agent process. */
public sealed interface AgentAction {
    /** Sends a request to a backend server. */
    public data class Dispatch(val request: Request, val backend: BackendId, val url: String) : AgentAction

    /** Responds to the entry with the outcome of one delivery of a request. */
    public data class Respond(
        val id: RequestId,
        val outcome: RequestOutcome,
        val queueTime: Duration = Duration.ZERO,
        val runTime: Duration = Duration.ZERO,
    ) : AgentAction

    /** Responds to the entry that withdrew a request. [notRun] guarantees that the request did not and will not run. */
    public data class RespondToWithdrawal(val id: RequestId, val notRun: Boolean) : AgentAction

    /** Starts an attempt in the worker runtime, with a lease until [until]. */
    public data class StartTask(val id: AttemptId, val spec: TaskSpec, val until: MonotonicInstant) : AgentAction

    /** Extends the lease of an attempt in the worker runtime. */
    public data class ExtendTask(
        val id: AttemptId,
        val until: MonotonicInstant,
        /** Epoch of the owner that renewed the lease. */
        val ownerEpoch: Long,
    ) : AgentAction

    /** Takes a checkpoint of an attempt and stops it. */
    public data class StopTask(val id: AttemptId) : AgentAction

    /** Limits the processors of an attempt. The runtime rejects a change with a lower [order] than an earlier one. */
    public data class ThrottleTask(val id: AttemptId, val cpuShare: Double, val order: Long) : AgentAction

    /** Removes a terminated attempt from the runtime's inventory. */
    public data class ForgetTask(val id: AttemptId) : AgentAction
}
