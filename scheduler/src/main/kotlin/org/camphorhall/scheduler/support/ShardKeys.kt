package org.camphorhall.scheduler.support

import java.util.zip.CRC32

/** Keys of one shard in the store. */
internal class ShardKeys(shard: Int) {
    private val root = "camphorhall/$shard"

    /** The present owner, attached to its lease. */
    val owner = "$root/owner"

    /** The newest epoch. It changes with every new owner and is never deleted. */
    val epoch = "$root/epoch"

    /** What entries write: jobs and cancellations. */
    val inboxPrefix = "$root/in/"
    val progressPrefix = "$root/progress/"

    fun job(id: String): String = "${inboxPrefix}job/$id"

    fun cancellation(id: String): String = "${inboxPrefix}cancel/$id"

    fun progress(id: String): String = "$progressPrefix$id"

    /** The job whose record has [key]; null for other keys. */
    fun jobIdOf(key: String): String? = idAfter(key, "${inboxPrefix}job/")

    /** The job whose cancellation has [key]; null for other keys. */
    fun cancelledJobIdOf(key: String): String? = idAfter(key, "${inboxPrefix}cancel/")

    /** The job whose progress has [key]; null for other keys. */
    fun progressJobIdOf(key: String): String? = idAfter(key, progressPrefix)

    private fun idAfter(key: String, prefix: String): String? =
        if (key.startsWith(prefix)) key.removePrefix(prefix) else null

    companion object {
        /** Written by every agent at its start; the revision of the write is its first fencing token. */
        const val TOKENS = "camphorhall/tokens"

        /** The shard of a job or an instance among [shards]. */
        fun shardOf(id: String, shards: Int): Int =
            (CRC32().apply { update(id.encodeToByteArray()) }.value % shards).toInt()
    }
}
