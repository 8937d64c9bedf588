package org.camphorhall.scheduler.support

import arrow.core.getOrElse
import io.github.oshai.kotlinlogging.KotlinLogging
import io.github.oshai.kotlinlogging.Level
import kotlinx.serialization.Serializable
import org.camphorhall.platform.store.StoreEntry
import org.camphorhall.platform.store.StoreTransaction
import org.camphorhall.process.event
import org.camphorhall.scheduler.protocol.documentDecoder
import org.camphorhall.scheduler.protocol.documentJson

private val logger = KotlinLogging.logger {}

/**
 * The fence record of a shard. Every creation of a job is conditional on the revision of this record, so that writing
 * it ends the creations that are still under way, in any process and in the store.
 */
@Serializable
internal data class IntakeFence(
    /** Ids that were cancelled while no such job was stored. These jobs are not accepted. */
    val withdrawn: Set<String> = emptySet(),
    /** The ids that were refused for lack of room last, oldest first. Later requests may store these jobs. */
    val refused: Set<String> = emptySet(),
) {
    /** Whether no more ids can be withdrawn before the owner of the shard forgets some. */
    val isFull: Boolean get() = withdrawn.size >= MAX_WITHDRAWN

    fun withdraw(id: String): IntakeFence = copy(withdrawn = withdrawn + id)

    fun refuse(ids: Set<String>): IntakeFence =
        copy(refused = (refused - ids + ids).toList().takeLast(MAX_REFUSED).toSet())

    fun forget(ids: Set<String>): IntakeFence = copy(withdrawn = withdrawn - ids)

    /** The write of this record to [key]. */
    fun toWrite(key: String): StoreTransaction.Write =
        StoreTransaction.Write(key, documentJson.encodeToString(serializer(), this).encodeToByteArray())

    companion object {
        /** Bounds the record to about 20 KB, and the memory that requests for unknown jobs can take. */
        const val MAX_WITHDRAWN = 1_024

        /** Covers the seconds for which an earlier request for one of these jobs may be under way at another entry. */
        const val MAX_REFUSED = 256
    }
}

/** [fence] at its store [revision]; the revision is 0 if it was never written. */
@Serializable
internal data class StoredFence(val fence: IntakeFence = IntakeFence(), val revision: Long = 0)

/** The fence in this entry; an empty one if there is no entry or its value cannot be decoded. */
internal fun StoreEntry?.toFence(): StoredFence {
    if (this == null) return StoredFence()
    val fence = documentDecoder.decode(IntakeFence.serializer(), value).getOrElse {
        logger.event(Level.ERROR, "fence cannot be decoded; treating it as empty", "key" to key, "reason" to it)
        IntakeFence()
    }
    return StoredFence(fence, version)
}
