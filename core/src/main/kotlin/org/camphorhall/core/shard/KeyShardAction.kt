package org.camphorhall.core.shard

import org.camphorhall.core.model.Reason

/** What the owner of a shard of idempotency keys decides to do. */
public sealed interface KeyShardAction {
    /** Calls the store about the page. */
    public data class CallStore(val call: PageCall<KeyPage>) : KeyShardAction

    /** The claimant may dispatch its request. */
    public data class Granted(val correlationId: Long) : KeyShardAction

    /** An earlier request with the key has ended. */
    public data class Recorded(val correlationId: Long, val record: KeyRecord) : KeyShardAction

    /** An earlier request with the key runs, or ended without a known outcome. */
    public data class AlreadyClaimed(val correlationId: Long, val reason: Reason) : KeyShardAction

    /** The claim is not granted and will not be; the request must not be dispatched. */
    public data class Rejected(val correlationId: Long, val reason: Reason) : KeyShardAction

    /** A later owner has the shard. */
    public data object OwnershipLost : KeyShardAction
}
