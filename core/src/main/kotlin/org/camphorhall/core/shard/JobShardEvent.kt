package org.camphorhall.core.shard

import org.camphorhall.core.model.JobId
import org.camphorhall.core.model.MonotonicInstant
import org.camphorhall.core.model.WorkerId

/** Inputs of [JobShardMachine]. `correlationId` matches a response to its request. */
public sealed interface JobShardEvent {
    public data class Submit(val correlationId: Long, val id: JobId, val spec: SingleStepJobSpec) : JobShardEvent

    public data class Cancel(val correlationId: Long, val id: JobId) : JobShardEvent

    /** The owner received a heartbeat of [worker]. */
    public data class HeartbeatReceived(
        val correlationId: Long,
        val worker: WorkerId,
        /** Incarnation of the agent that sent the heartbeat; an earlier one may have resumed beside its successor. */
        val incarnation: Long,
        val acceptedEpoch: Long,
        val reports: List<AttemptReport>,
    ) : JobShardEvent

    /** The agent [incarnation] of [worker] responded to a command. */
    public data class CommandResponse(
        val worker: WorkerId,
        val incarnation: Long,
        val reports: List<AttemptReport>,
    ) : JobShardEvent

    /** The store responded to a page call. */
    public data class PageResponse(val event: PageEvent<JobPage>) : JobShardEvent

    /** The store confirmed the renewal of the owner's store lease that was sent at [sentAt]. */
    public data class StoreLeaseRenewed(val sentAt: MonotonicInstant) : JobShardEvent

    /** Periodic timer event. */
    public data object Tick : JobShardEvent
}
