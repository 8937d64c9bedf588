package org.camphorhall.core.shard

/** Result of handling a [PageEvent]. */
public data class CommitResult<B, E>(
    val commit: GroupCommit<B, E>,
    /** Effects whose changes have become durable. */
    val released: List<E> = emptyList(),
    /** Whether a later owner has acquired the shard. */
    val ownershipLost: Boolean = false,
    /** Whether the pending changes are guaranteed not to be committed. */
    val notCommitted: Boolean = false,
)
