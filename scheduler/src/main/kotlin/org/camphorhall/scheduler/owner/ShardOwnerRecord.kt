package org.camphorhall.scheduler.owner

import kotlinx.serialization.Serializable

/** Stored record of the owner of a shard. The owner accepts messages from other processes at [address], host:port. */
@Serializable
internal data class ShardOwnerRecord(val epoch: Long, val instance: String, val address: String) {
    /** Whether the owner is a process of [instance] at [address]; the processes there follow each other. */
    fun isAt(instance: String, address: String): Boolean = this.instance == instance && this.address == address
}
