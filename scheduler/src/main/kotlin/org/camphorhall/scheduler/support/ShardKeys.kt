package org.camphorhall.scheduler.support

import java.util.zip.CRC32

/** Store keys of one shard. */
internal class ShardKeys(shard: Int) {
    private val root = "camphorhall/$shard"

    /** The current owner, attached to its store lease. */
    val owner = "$root/owner"

    /** The newest epoch. Written by every new owner, never deleted. */
    val epoch = "$root/epoch"

    /** Jobs and cancellations, written by entries. */
    val inboxPrefix = "$root/in/"

    /** The [IntakeFence] of the shard. Never deleted: its revision must not return to an earlier one. */
    val fence = "${inboxPrefix}fence"
    val progressPrefix = "$root/progress/"

    fun job(id: String): String = "${inboxPrefix}job/$id"

    fun cancellation(id: String): String = "${inboxPrefix}cancel/$id"

    fun progress(id: String): String = "$progressPrefix$id"

    /** Id of the job whose record has [key]; null for other keys. */
    fun jobIdOf(key: String): String? = idAfter(key, "${inboxPrefix}job/")

    /** Id of the job whose cancellation has [key]; null for other keys. */
    fun cancelledJobIdOf(key: String): String? = idAfter(key, "${inboxPrefix}cancel/")

    /** Id of the job whose progress has [key]; null for other keys. */
    fun progressJobIdOf(key: String): String? = idAfter(key, progressPrefix)

    private fun idAfter(key: String, prefix: String): String? =
        if (key.startsWith(prefix)) key.removePrefix(prefix) else null

    companion object {
        /** Written by every agent at its start; its first fencing token is derived from the revision of the write. */
        const val TOKENS = "camphorhall/tokens"

        /** Shard of the job or instance [id] among [shards]. */
        fun shardOf(id: String, shards: Int): Int =
            (CRC32().apply { update(id.encodeToByteArray()) }.value % shards).toInt()
    }
}
