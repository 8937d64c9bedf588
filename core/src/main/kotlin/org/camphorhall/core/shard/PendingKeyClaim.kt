package org.camphorhall.core.shard

import org.camphorhall.core.model.MonotonicInstant

/** A claim of [key] that is granted once its record is durable. */
public data class PendingKeyClaim(
    val correlationId: Long,
    val key: String,
    val requestedAt: MonotonicInstant,
)
