package org.camphorhall.core.jobs

import kotlinx.serialization.Serializable

/**
 * Identifies one incarnation of a worker: its [instance], its [id] and its self-reported start time. A later
 * incarnation on the same instance means that the earlier one and all its attempts have ended.
 */
@Serializable
public data class WorkerKey(
    val instance: String,
    val id: String,
    val startedAtMillis: Long,
) {
    override fun toString(): String = "$instance|$id|$startedAtMillis"

    public companion object {
        /** Parses the form of [toString]; null if [text] does not have it. */
        public fun parse(text: String): WorkerKey? {
            val parts = text.split('|')
            if (parts.size != PARTS) return null
            return WorkerKey(parts[0], parts[1], parts[2].toLongOrNull() ?: return null)
        }

        private const val PARTS = 3
    }
}
