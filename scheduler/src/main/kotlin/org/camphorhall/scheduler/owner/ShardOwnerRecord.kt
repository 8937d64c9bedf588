package org.camphorhall.scheduler.owner

import kotlinx.serialization.Serializable

/** Who owns a shard, as stored. [address] is where the owner takes messages of other processes, host:port. */
@Serializable
internal data class ShardOwnerRecord(val epoch: Long, val instance: String, val address: String)
