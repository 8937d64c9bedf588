package org.camphorhall.scheduler.owner

import kotlinx.serialization.Serializable
import org.camphorhall.scheduler.support.isAddress

/** Stored record of the owner of a shard. The owner accepts messages from other processes at [address], host:port. */
@Serializable
internal data class ShardOwnerRecord(val epoch: Long, val instance: String, val address: String) {
    /** Whether a process can have written the epoch; it would take centuries to reach the greatest valid one. */
    val isEpochValid: Boolean get() = epoch in 0..MAX_EPOCH

    /** Whether a client can connect to the owner, and a later one can have a greater epoch. */
    val isUsable: Boolean get() = isEpochValid && isAddress(address)

    /** Whether the owner is a process of [instance] at [address]; the processes there follow each other. */
    fun isAt(instance: String, address: String): Boolean = this.instance == instance && this.address == address
}

private const val MAX_EPOCH = 1_000_000_000_000L
