package org.camphorhall.core.shard

import org.camphorhall.core.model.JobId
import org.camphorhall.core.model.MonotonicInstant
import org.camphorhall.core.model.WorkerId

/** What happens to a shard of jobs. [reply][Submit.reply] numbers match answers to their callers. */
public sealed interface JobShardEvent {
    /** A caller submits a job. */
    public data class Submit(val correlationId: Long, val id: JobId, val spec: SingleStepJobSpec) : JobShardEvent

    /** A caller cancels a job. */
    public data class Cancel(val correlationId: Long, val id: JobId) : JobShardEvent

    /** A worker sent a heartbeat to the owner. */
    public data class HeartbeatReceived(
        val correlationId: Long,
        val worker: WorkerId,
        val acceptedEpoch: Long,
        val reports: List<AttemptReport>,
    ) : JobShardEvent

    /** A worker answered a command. */
    public data class CommandResponse(val worker: WorkerId, val reports: List<AttemptReport>) : JobShardEvent

    /** The store answered a call about the page. */
    public data class PageResponse(val event: PageEvent<JobPage>) : JobShardEvent

    /** The store answered a renewal of the owner's lease that was sent at [sentAt]. */
    public data class StoreLeaseRenewed(val sentAt: MonotonicInstant) : JobShardEvent

    /** Time passed. */
    public data object Tick : JobShardEvent
}
