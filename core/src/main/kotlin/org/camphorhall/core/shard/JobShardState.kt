package org.camphorhall.core.shard

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentHashSetOf
import org.camphorhall.core.model.MonotonicInstant
import org.camphorhall.core.model.TaskId
import org.camphorhall.core.model.WorkerId

/** Everything that the owner of a shard knows of its jobs. */
public data class JobShardState(
    val shard: Int,
    val commit: GroupCommit<JobPage, ShardEffect>,
    /** Moment at which this owner took the shard. */
    val acquiredAt: MonotonicInstant,
    /** Send time of the last call that the store answered. */
    val storeLeaseRenewedAt: MonotonicInstant,
    val leaseGrants: PersistentMap<WorkerId, LeaseGrant> = persistentHashMapOf(),
    val sentCommands: PersistentMap<TaskId, SentCommand> = persistentHashMapOf(),
    val queued: PersistentSet<TaskId> = persistentHashSetOf(),
    val assigned: PersistentSet<TaskId> = persistentHashSetOf(),
    val lastCleanupAt: MonotonicInstant = MonotonicInstant(Long.MIN_VALUE / 2),
    /** Seed of the next placement. */
    val placementSeed: Long = 1,
    val ownershipLost: Boolean = false,
) {
    /** Content of the page, with changes that may not be durable yet. */
    public val page: JobPage get() = commit.current

    /** Whether this owner may act for the shard. */
    public val ready: Boolean get() = commit.established && !ownershipLost

    public companion object {
        /** State of an owner that took the shard [epoch] at [now] and has not read its page yet. */
        public fun acquired(shard: Int, epoch: Long, writer: String, now: MonotonicInstant): JobShardState =
            JobShardState(
                shard,
                GroupCommit(epoch, writer, JobPage(), JobPage()),
                acquiredAt = now,
                storeLeaseRenewedAt = now,
            )
    }
}
