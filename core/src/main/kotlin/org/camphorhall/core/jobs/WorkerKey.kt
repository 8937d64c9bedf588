package org.camphorhall.core.jobs

import kotlinx.serialization.Serializable

/**
 * One life of a worker: the [instance] it is on, its [id] and the time of its start by its own account. A later life on
 * the same instance means that the earlier one has ended with everything that it ran.
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
