package org.camphorhall.core.routing

import org.camphorhall.core.model.Reason
import org.camphorhall.core.model.RequestOutcome
import org.camphorhall.core.model.WorkerId
import org.camphorhall.core.shard.KeyRecord

/** An event that the state machine of one request handles. */
public sealed interface RequestEvent {
    /** The entry has accepted the request from its caller. */
    public data object Start : RequestEvent

    /** The claim of the idempotency key is durable. */
    public data object KeyGranted : RequestEvent

    /** An earlier request with the key has ended with a recorded outcome. */
    public data class KeyRecorded(val record: KeyRecord) : RequestEvent

    /** An earlier request with the key is still running, or ended without a known outcome. */
    public data class KeyConflict(val reason: Reason) : RequestEvent

    /** The claim was rejected, or its response was lost. A request without a granted key is never dispatched. */
    public data class KeyRejected(val reason: Reason) : RequestEvent

    /** The agent of [worker] responded to the try. */
    public data class AgentResponded(val worker: WorkerId, val outcome: RequestOutcome) : RequestEvent

    /** The call to [worker] failed. [notSent] is true only when no connection was established. */
    public data class SendFailed(val worker: WorkerId, val notSent: Boolean) : RequestEvent

    /** The agent of [worker] responded to the withdrawal. */
    public data class WithdrawalAcknowledged(val worker: WorkerId, val notRun: Boolean) : RequestEvent

    /** The withdrawal failed or timed out. */
    public data class WithdrawalFailed(val worker: WorkerId) : RequestEvent

    /** The deadline of the request passed. */
    public data object DeadlineReached : RequestEvent

    /** The caller closed its connection. */
    public data object CallerDisconnected : RequestEvent
}
