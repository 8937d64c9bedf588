package org.camphorhall.core.shard

import org.camphorhall.core.model.MonotonicInstant

/** Everything that the owner of a shard knows of its idempotency keys. */
public data class KeyShardState(
    val shard: Int,
    val commit: GroupCommit<KeyPage, PendingKeyClaim>,
    val lastCleanupAt: MonotonicInstant = MonotonicInstant(Long.MIN_VALUE / 2),
    val ownershipLost: Boolean = false,
) {
    /** Whether this owner may act for the shard. */
    public val ready: Boolean get() = commit.established && !ownershipLost

    public companion object {
        /** State of an owner that took the shard [epoch] and has not read its page yet. */
        public fun acquired(shard: Int, epoch: Long, writer: String): KeyShardState =
            KeyShardState(shard, GroupCommit(epoch, writer, KeyPage(), KeyPage()))
    }
}
