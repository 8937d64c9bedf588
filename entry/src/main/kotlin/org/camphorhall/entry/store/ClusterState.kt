package org.camphorhall.entry.store

import org.camphorhall.core.config.Configuration

/** Records of the deployment in the store, as of [revision]. */
internal data class ClusterState(
    val revision: Long = 0,
    val entries: Map<String, EntryRecord> = emptyMap(),
    val owners: Map<Int, ShardOwner> = emptyMap(),
    val config: Configuration = Configuration(),
)

/** Owner of a shard. The epoch is the store revision of the write that acquired the shard. */
internal data class ShardOwner(val record: OwnerRecord, val epoch: Long)
