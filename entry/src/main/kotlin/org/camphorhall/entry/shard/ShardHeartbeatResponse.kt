package org.camphorhall.entry.shard

import org.camphorhall.core.shard.JobShardAction

/** Response of one shard to a heartbeat; null when this entry no longer acts for the shard. */
internal typealias ShardHeartbeatResponse = JobShardAction.RespondToHeartbeat?
