package org.camphorhall.core.shard

import org.camphorhall.core.agent.StartCommand
import org.camphorhall.core.agent.StopCommand
import org.camphorhall.core.model.AttemptId
import org.camphorhall.core.model.JobId
import org.camphorhall.core.model.MonotonicInstant
import org.camphorhall.core.model.Reason
import org.camphorhall.core.model.WorkerId

/** Actions that the owner of a job shard requests. `correlationId` identifies the event that is responded to. */
public sealed interface JobShardAction {
    /** Sends a page call to the store. */
    public data class CallStore(val call: PageCall<JobPage>) : JobShardAction

    /** Accepts a submission; its record is durable. */
    public data class Accepted(val correlationId: Long, val id: JobId) : JobShardAction

    /** Rejects a submission or a cancellation; it is guaranteed to have had no effect. */
    public data class Rejected(val correlationId: Long, val reason: Reason) : JobShardAction

    /** Reports that a submission or a cancellation may or may not have taken effect. */
    public data class InDoubt(val correlationId: Long, val reason: Reason) : JobShardAction

    /** Confirms a cancellation; it is durable. */
    public data class CancelRecorded(val correlationId: Long) : JobShardAction

    public data class RespondToHeartbeat(
        val correlationId: Long,
        val shard: Int,
        val epoch: Long,
        /** Whether the leases of the worker's attempts are renewed. */
        val renew: Boolean,
        val acknowledged: List<AttemptId>,
        val stops: List<StopCommand>,
    ) : JobShardAction

    /** Sends starts and stops to a worker. */
    public data class Command(
        val worker: WorkerId,
        val address: String,
        /** Incarnation of the agent; [heartbeatSentAt] is a reading of its clock. */
        val incarnation: Long,
        val heartbeatSentAt: MonotonicInstant,
        val starts: List<StartCommand>,
        val stops: List<StopCommand>,
    ) : JobShardAction

    /** A later owner has acquired the shard. */
    public data object OwnershipLost : JobShardAction
}
