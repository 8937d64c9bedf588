package org.camphorhall.entry.shard

import org.camphorhall.core.model.MonotonicInstant

/** A claim of a shard that the store recorded. */
internal class ShardClaim(
    val shard: Int,
    val epoch: Long,
    /** Store lease that the owner record is attached to. */
    val lease: String,
    /** Time when the claim was sent; the store lease was valid at that time or later. */
    val sentAt: MonotonicInstant,
)
