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
 * step. All numbers start at 0. The serialized form is `job/occurrence/step/index`.
 */
@Serializable(with = TaskRefSerializer::class)
public data class TaskRef(
    val job: String,
    val occurrence: Int,
    val step: Int,
    val index: Int,
) {
    override fun toString(): String = "$job/$occurrence/$step/$index"

    public companion object {
        /** Parses the form of [toString]; null if [text] does not have it. */
        public fun parse(text: String): TaskRef? {
            val parts = text.split('/')
            if (parts.size != PARTS) return null
            val (occurrence, step, index) = parts.drop(1).map { it.toIntOrNull() ?: return null }
            return TaskRef(parts[0], occurrence, step, index)
        }

        private const val PARTS = 4
    }
}

internal object TaskRefSerializer : KSerializer<TaskRef> {
    override val descriptor: SerialDescriptor = PrimitiveSerialDescriptor("TaskRef", PrimitiveKind.STRING)

    override fun serialize(encoder: Encoder, value: TaskRef): Unit = encoder.encodeString(value.toString())

    override fun deserialize(decoder: Decoder): TaskRef {
        val text = decoder.decodeString()
        return requireNotNull(TaskRef.parse(text)) { "invalid task reference '$text': not job/occurrence/step/index" }
    }
}
