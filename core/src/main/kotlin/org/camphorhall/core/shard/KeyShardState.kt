package org.camphorhall.core.shard

import org.camphorhall.core.model.MonotonicInstant

/** State of the owner of a shard of idempotency keys. */
public data class KeyShardState(
    val shard: Int,
    val commit: GroupCommit<KeyPage, PendingKeyClaim>,
    val lastCleanupAt: MonotonicInstant = MonotonicInstant(Long.MIN_VALUE / 2),
    val ownershipLost: Boolean = false,
) {
    /** Whether this owner has fenced off earlier owners and has not lost the shard. */
    public val ready: Boolean get() = commit.established && !ownershipLost

    public companion object {
        /** Initial state of an owner that acquired [shard] with [epoch]; its page has not been read yet. */
        public fun acquired(shard: Int, epoch: Long, writer: String): KeyShardState =
            KeyShardState(shard, GroupCommit(epoch, writer, KeyPage(), KeyPage()))
    }
}
