package org.camphorhall.core.jobs

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The stored progress of a job. Tasks that were never assigned are omitted. */
@Serializable
public data class ProgressRecord(
    @SerialName("p") val phase: JobPhase,
    /** Keys of the workers that [tasks] refer to by index. */
    @SerialName("w") val workers: List<String> = emptyList(),
    @SerialName("t") val tasks: List<String> = emptyList(),
    /** A digit for each of [tasks]: 1 if a list of its worker has shown the attempt; 0 where it is too short. */
    @SerialName("l") val listed: String = "",
    /** For each gang with a failed attempt: occurrence, step and the last such attempt, comma-separated. */
    @SerialName("g") val failedGangs: List<String> = emptyList(),
)

/** The stored progress of one task in a [ProgressRecord]. */
internal data class TaskProgress(
    val occurrence: Int,
    val step: Int,
    val index: Int,
    val attempt: Int,
    val done: Boolean,
    val failures: Int,
    /** Index in [ProgressRecord.workers] of the worker that may run the attempt; -1 if none does. */
    val worker: Int,
    val checkpoint: String,
) {
    /** Encodes the fields as comma-separated text. */
    fun encode(): String = "$occurrence,$step,$index,$attempt,${if (done) 1 else 0},$failures,$worker,$checkpoint"

    companion object {
        private const val FIELDS = 8

        /** Decodes the form of [encode]; null if [text] is invalid. */
        fun decode(text: String): TaskProgress? {
            val f = text.split(',', limit = FIELDS)
            if (f.size != FIELDS) return null
            val n = f.dropLast(1).map { it.toIntOrNull() ?: return null }
            // The next attempt has the following number.
            if (n[3] !in 0 until Int.MAX_VALUE || n[5] < 0) return null
            return TaskProgress(n[0], n[1], n[2], n[3], n[4] == 1, n[5], n[6], f.last())
        }
    }
}
