package org.camphorhall.core.routing

import org.camphorhall.core.model.Reason
import org.camphorhall.core.model.RequestOutcome
import org.camphorhall.core.model.WorkerId
import org.camphorhall.core.shard.KeyRecord

/** What happens to one request at an entry. */
public sealed interface RequestEvent {
    /** The entry has accepted the request from its caller. */
    public data object Start : RequestEvent

    /** The claim of the idempotency key is durable. */
    public data object KeyGranted : RequestEvent

    /** An earlier request with the key has ended. */
    public data class KeyRecorded(val record: KeyRecord) : RequestEvent

    /** An earlier request with the key runs, or ended without a known outcome. */
    public data class KeyConflict(val reason: Reason) : RequestEvent

    /** The claim was refused, or its answer was lost. A request without a grant is never dispatched. */
    public data class KeyRejected(val reason: Reason) : RequestEvent

    /** The agent of [worker] answered the try. */
    public data class AgentResponded(val worker: WorkerId, val outcome: RequestOutcome) : RequestEvent

    /** The call to [worker] broke. [notSent] is true only when no connection was established. */
    public data class SendFailed(val worker: WorkerId, val notSent: Boolean) : RequestEvent

    /** The agent of [worker] answered the withdrawal. */
    public data class WithdrawalAcknowledged(val worker: WorkerId, val notRun: Boolean) : RequestEvent

    /** The withdrawal was not answered in time. */
    public data class WithdrawalFailed(val worker: WorkerId) : RequestEvent

    /** The deadline of the request passed. */
    public data object DeadlineReached : RequestEvent

    /** The caller closed the connection. */
    public data object CallerDisconnected : RequestEvent
}
