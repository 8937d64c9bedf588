package org.camphorhall.core.routing

import org.camphorhall.core.model.MonotonicInstant
import org.camphorhall.core.model.RequestOutcome
import org.camphorhall.core.model.WorkerId
import org.camphorhall.core.shard.KeyRecord

/** An action that the state machine of one request asks the entry to perform. */
public sealed interface RequestAction {
    /** Claims the idempotency key [key] for the request at the owner of the key's shard. */
    public data class ClaimKey(val key: String) : RequestAction

    /** Sends the request to an agent. */
    public data class Send(
        val worker: WorkerId,
        val address: String,
        /** Incarnation of the agent whose clock [deadline] refers to; other incarnations reject the request. */
        val incarnation: Long,
        /** Deadline on the clock of the agent. */
        val deadline: MonotonicInstant,
        /** Whether the try spends a token of the [RetryBudget]; otherwise it is recorded there as a first try. */
        val retry: Boolean,
    ) : RequestAction

    /** Withdraws the request from the agent that it was sent to. */
    public data class Withdraw(
        val worker: WorkerId,
        val address: String,
        val incarnation: Long,
        val deadline: MonotonicInstant,
    ) : RequestAction

    /** Records the outcome of the key at the owner of its shard; `not-run` releases the key. */
    public data class SettleKey(val key: String, val outcome: RequestOutcome) : RequestAction

    /**
     * Responds to the caller. When [record] is set, the response replays the outcome that an earlier request with the
     * same key recorded.
     */
    public data class Finish(val outcome: RequestOutcome, val record: KeyRecord? = null) : RequestAction
}
