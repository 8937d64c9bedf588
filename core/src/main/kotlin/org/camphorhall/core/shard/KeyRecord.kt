package org.camphorhall.core.shard

import kotlinx.serialization.Serializable

/** Stored record of an idempotency key. Wall clock times are milliseconds since the Unix epoch. */
@Serializable
public data class KeyRecord(
    /** Tenant and key of the caller. */
    val key: String,
    /** Entry and request that claimed the key; only this request may be dispatched. */
    val claimant: String,
    val claimedMillis: Long,
    /** Deadline of the request; the claimant no longer processes it afterwards. */
    val deadlineMillis: Long,
    /** Outcome code; null until the claimant reports it. */
    val outcome: String? = null,
    val reason: String? = null,
    /** Response body; null if it is too large to store. */
    val body: String? = null,
)
