package org.camphorhall.scheduler.owner

import kotlinx.coroutines.CompletableDeferred
import org.camphorhall.core.jobs.Commit
import org.camphorhall.platform.operator.OperatorConfig
import org.camphorhall.scheduler.protocol.AgentMessage
import org.camphorhall.scheduler.protocol.OwnerRequest
import org.camphorhall.scheduler.protocol.OwnerResponse
import org.camphorhall.scheduler.support.EvacuationState

/** Events that the loop of [ShardOwner] handles one at a time. */
internal sealed interface OwnerEvent {
    class Reported(val session: AgentSession, val message: AgentMessage) : OwnerEvent

    class Detached(val session: AgentSession) : OwnerEvent

    class RequestReceived(val request: OwnerRequest, val response: CompletableDeferred<OwnerResponse>) : OwnerEvent

    /** [withdrawn] are all ids that the fence names; null if it has not changed. */
    class InboxUpdated(
        val jobs: List<StoredRecord>,
        val cancelled: List<String>,
        val withdrawn: Set<String>? = null,
    ) : OwnerEvent

    class Configured(val config: OperatorConfig) : OwnerEvent

    class Evacuated(val state: EvacuationState) : OwnerEvent

    /** [result] is null if the shard has another owner. */
    class Written(val commit: Commit, val result: CommitResult?) : OwnerEvent

    /** The records of the finished [jobs] are deleted. */
    class Deleted(val jobs: Collection<String>) : OwnerEvent

    data object Tick : OwnerEvent

    data object Summarize : OwnerEvent
}
