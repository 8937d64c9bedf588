package org.camphorhall.core.shard

/** What happens to a shard of idempotency keys. */
public sealed interface KeyShardEvent {
    /** An entry claims [key] for one request. A repeated claim by the same claimant is the same claim. */
    public data class Claim(
        val correlationId: Long,
        val key: String,
        val claimant: String,
        val deadlineMillis: Long,
    ) : KeyShardEvent

    /** The claimant tells how its request ended. `not-run` frees the key. */
    public data class Settle(
        val key: String,
        val claimant: String,
        val outcome: String,
        val reason: String?,
        val body: String?,
    ) : KeyShardEvent

    /** The store answered a call about the page. */
    public data class PageResponse(val event: PageEvent<KeyPage>) : KeyShardEvent

    /** Time passed. */
    public data object Tick : KeyShardEvent
}
