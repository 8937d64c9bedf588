package org.camphorhall.core.shard

import org.camphorhall.core.model.MonotonicInstant

/** Last lease grant of a shard owner to a worker, and the epoch that the worker confirmed. */
public data class LeaseGrant(
    /** Time when this owner last sent a renewal or a start to the worker. */
    val sentAt: MonotonicInstant,
    /** Highest shard epoch that the agent reported as accepted; owners with a lower epoch cannot renew leases. */
    val acceptedEpoch: Long = 0,
)
