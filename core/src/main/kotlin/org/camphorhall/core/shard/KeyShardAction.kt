package org.camphorhall.core.shard

import org.camphorhall.core.model.Reason

/** Actions that the owner of a shard of idempotency keys requests. */
public sealed interface KeyShardAction {
    /** Sends a page call to the store. */
    public data class CallStore(val call: PageCall<KeyPage>) : KeyShardAction

    /** The claimant may dispatch its request. */
    public data class Granted(val correlationId: Long) : KeyShardAction

    /** An earlier request with the key has ended with a recorded outcome. */
    public data class Recorded(val correlationId: Long, val record: KeyRecord) : KeyShardAction

    /** An earlier request with the key is in progress, or its outcome is unknown. */
    public data class AlreadyClaimed(val correlationId: Long, val reason: Reason) : KeyShardAction

    /** The claim will not be granted; the request must not be dispatched. */
    public data class Rejected(val correlationId: Long, val reason: Reason) : KeyShardAction

    /** A later owner has acquired the shard. */
    public data object OwnershipLost : KeyShardAction
}
