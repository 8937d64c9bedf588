package org.camphorhall.core.shard

import org.camphorhall.core.model.MonotonicInstant

/** Last lease grant of a shard owner to a worker, and the agent incarnation that confirmed the epoch. */
public data class LeaseGrant(
    /** Time when this owner last sent a renewal or a start to the worker. */
    val sentAt: MonotonicInstant,
    /**
     * Latest incarnation of the agent that reported this owner's epoch, or a later one, as accepted; null if none did.
     * Earlier owners cannot renew leases through this incarnation or through earlier ones.
     */
    val fencedIncarnation: Long? = null,
)
