package org.camphorhall.core.shard

/** What a page event led to. */
public data class CommitResult<B, E>(
    val commit: GroupCommit<B, E>,
    /** Effects whose changes are durable now. */
    val released: List<E> = emptyList(),
    /** Whether a later owner has the shard. */
    val ownershipLost: Boolean = false,
    /** Whether the store surely did not take the pending changes. */
    val notCommitted: Boolean = false,
)
