package org.camphorhall.core.shard

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentHashSetOf
import org.camphorhall.core.model.MonotonicInstant
import org.camphorhall.core.model.TaskId
import org.camphorhall.core.model.WorkerId

/** State of the owner of a job shard. */
public data class JobShardState(
    val shard: Int,
    val commit: GroupCommit<JobPage, ShardEffect>,
    /** Time when this owner acquired the shard. */
    val acquiredAt: MonotonicInstant,
    /** Send time of the last confirmed renewal of the store lease. */
    val storeLeaseRenewedAt: MonotonicInstant,
    val leaseGrants: PersistentMap<WorkerId, LeaseGrant> = persistentHashMapOf(),
    val sentCommands: PersistentMap<TaskId, SentCommand> = persistentHashMapOf(),
    val queued: PersistentSet<TaskId> = persistentHashSetOf(),
    val assigned: PersistentSet<TaskId> = persistentHashSetOf(),
    val lastCleanupAt: MonotonicInstant = MonotonicInstant(Long.MIN_VALUE / 2),
    /** Seed of the random choices of the next placement. */
    val placementSeed: Long = 1,
    val ownershipLost: Boolean = false,
) {
    /** Content of the page, including changes that may not be durable yet. */
    public val page: JobPage get() = commit.current

    /** Whether this owner has fenced off earlier owners and has not lost the shard. */
    public val ready: Boolean get() = commit.established && !ownershipLost

    public companion object {
        /**
         * Initial state of an owner that acquired [shard] with [epoch] at [now]; its page has not been read yet.
         * [claimSentAt] is the time when it sent its claim, which proves the store lease as a renewal does.
         */
        public fun acquired(
            shard: Int,
            epoch: Long,
            writer: String,
            now: MonotonicInstant,
            claimSentAt: MonotonicInstant = now,
        ): JobShardState = JobShardState(
            shard,
            GroupCommit(epoch, writer, JobPage(), JobPage()),
            acquiredAt = now,
            storeLeaseRenewedAt = claimSentAt,
        )
    }
}
