package org.camphorhall.entry.shard

import org.camphorhall.core.shard.JobShardAction

/** Answer of one shard to a heartbeat; null when the shard cannot answer. */
internal typealias ShardHeartbeatResponse = JobShardAction.RespondToHeartbeat?
