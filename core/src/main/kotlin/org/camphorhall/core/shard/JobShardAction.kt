package org.camphorhall.core.shard

import org.camphorhall.core.agent.StartCommand
import org.camphorhall.core.agent.StopCommand
import org.camphorhall.core.model.AttemptId
import org.camphorhall.core.model.JobId
import org.camphorhall.core.model.MonotonicInstant
import org.camphorhall.core.model.Reason
import org.camphorhall.core.model.WorkerId

/** What the owner of a shard decides to do. */
public sealed interface JobShardAction {
    /** Calls the store about the page. */
    public data class CallStore(val call: PageCall<JobPage>) : JobShardAction

    /** Answers a submission; the record is durable. */
    public data class Accepted(val correlationId: Long, val id: JobId) : JobShardAction

    /** Answers a submission or a cancellation that surely had no effect. */
    public data class Rejected(val correlationId: Long, val reason: Reason) : JobShardAction

    /** Answers a submission or a cancellation that may have had its effect. */
    public data class InDoubt(val correlationId: Long, val reason: Reason) : JobShardAction

    /** Answers a cancellation that is recorded. */
    public data class CancelRecorded(val correlationId: Long) : JobShardAction

    /** Answers a heartbeat. */
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
        /** Incarnation of the agent whose clock [anchor] belongs to. */
        val incarnation: Long,
        val anchor: MonotonicInstant,
        val starts: List<StartCommand>,
        val stops: List<StopCommand>,
    ) : JobShardAction

    /** A later owner has the shard. */
    public data object OwnershipLost : JobShardAction
}
