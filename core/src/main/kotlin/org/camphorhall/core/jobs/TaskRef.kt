package org.camphorhall.core.jobs

import kotlinx.serialization.KSerializer
import kotlinx.serialization.Serializable
import kotlinx.serialization.descriptors.PrimitiveKind
import kotlinx.serialization.descriptors.PrimitiveSerialDescriptor
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.encoding.Decoder
import kotlinx.serialization.encoding.Encoder

/**
 * Identifies one task: its [job], the [occurrence] of a repeated job (0 otherwise), the [step] and the [index] in the
 * step. All numbers start at 0. The text form, in logs and on the wire to workers, is `job.occurrence.step.index`.
 */
@Serializable(with = TaskRefSerializer::class)
public data class TaskRef(
    val job: String,
    val occurrence: Int,
    val step: Int,
    val index: Int,
) {
    override fun toString(): String = "$job.$occurrence.$step.$index"

    public companion object {
        /** Parses the form of [toString]; null if [text] does not have it. The job may contain any characters. */
        public fun parse(text: String): TaskRef? = parse(text, '.')

        internal fun parse(text: String, separator: Char): TaskRef? {
            val parts = text.split(separator)
            if (parts.size < PARTS) return null
            val job = parts.dropLast(NUMBERS).joinToString("$separator")
            val numbers = parts.takeLast(NUMBERS).map { p -> p.toIntOrNull()?.takeIf { it >= 0 } ?: return null }
            val (occurrence, step, index) = numbers
            return TaskRef(job, occurrence, step, index)
        }

        private const val NUMBERS = 3
        private const val PARTS = NUMBERS + 1
    }
}

/**
 * Encodes the parts joined by slashes, the only form that processes of earlier builds decode, and decodes both forms.
 * The last separator tells them apart, since the index contains none.
 */
internal object TaskRefSerializer : KSerializer<TaskRef> {
    private const val SEPARATOR = '/'

    override val descriptor: SerialDescriptor = PrimitiveSerialDescriptor("TaskRef", PrimitiveKind.STRING)

    override fun serialize(encoder: Encoder, value: TaskRef): Unit =
        encoder.encodeString(with(value) { "$job$SEPARATOR$occurrence$SEPARATOR$step$SEPARATOR$index" })

    override fun deserialize(decoder: Decoder): TaskRef {
        val text = decoder.decodeString()
        return requireNotNull(TaskRef.parse(text) ?: TaskRef.parse(text, SEPARATOR)) {
            "invalid task reference '$text': not job.occurrence.step.index"
        }
    }
}
