package org.camphorhall.core.shard

import org.camphorhall.core.model.MonotonicInstant

/** What the owner of a shard granted to a worker, and what the worker confirmed. */
public data class LeaseGrant(
    /** Moment of the last renewal or start that this owner sent. */
    val sentAt: MonotonicInstant,
    /** Greatest epoch of the shard that the agent reported as accepted; earlier owners can no longer renew. */
    val acceptedEpoch: Long = 0,
)
