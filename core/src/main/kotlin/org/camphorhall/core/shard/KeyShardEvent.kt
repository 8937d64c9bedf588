package org.camphorhall.core.shard

/** Inputs of [KeyShardMachine]. `correlationId` matches a response to its request. */
public sealed interface KeyShardEvent {
    /** An entry claims [key] for one request. Claims are idempotent for each claimant. */
    public data class Claim(
        val correlationId: Long,
        val key: String,
        val claimant: String,
        val deadlineMillis: Long,
    ) : KeyShardEvent

    /** The claimant reports the outcome of its request. `not-run` releases the key. */
    public data class Settle(
        val key: String,
        val claimant: String,
        val outcome: String,
        val reason: String?,
        val body: String?,
    ) : KeyShardEvent

    /** The store responded to a page call. */
    public data class PageResponse(val event: PageEvent<KeyPage>) : KeyShardEvent

    /** Periodic timer event. */
    public data object Tick : KeyShardEvent
}
