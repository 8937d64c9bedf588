package org.camphorhall.entry.shard

import org.camphorhall.core.shard.JobShardAction

/** Response of one shard to a heartbeat; null when the shard is closed on this entry. */
internal typealias ShardHeartbeatResponse = JobShardAction.RespondToHeartbeat?
