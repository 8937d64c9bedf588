package org.camphorhall.core.shard

import org.camphorhall.core.model.MonotonicInstant

/** Grants the claim of [key] once it is durable. */
public data class PendingKeyClaim(
    val correlationId: Long,
    val key: String,
    val requestedAt: MonotonicInstant,
)
