package org.camphorhall.process

import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.classic.spi.ThrowableProxyUtil
import ch.qos.logback.core.encoder.EncoderBase
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put

/**
 * Encodes an event as one line of JSON: time, message, logger, thread and level, then the fields of the event. The
 * encoders that are built on Jackson load several hundred classes at the start of a process.
 */
internal class JsonLineEncoder : EncoderBase<ILoggingEvent>() {
    override fun headerBytes(): ByteArray = NOTHING

    override fun footerBytes(): ByteArray = NOTHING

    override fun encode(event: ILoggingEvent): ByteArray {
        val line = buildJsonObject {
            put("@timestamp", event.instant.toString())
            put("message", event.formattedMessage)
            put("logger_name", event.loggerName)
            put("thread_name", event.threadName)
            put("level", event.level.toString())
            event.throwableProxy?.let { put("stack_trace", ThrowableProxyUtil.asString(it)) }
            event.keyValuePairs.orEmpty().forEach { put(it.key, elementOf(it.value)) }
        }
        return "$line\n".encodeToByteArray()
    }

    private fun elementOf(value: Any?): JsonElement = when (value) {
        is Boolean -> JsonPrimitive(value)
        // JSON has no infinity and no NaN.
        is Double -> if (value.isFinite()) JsonPrimitive(value) else JsonPrimitive(value.toString())
        is Float -> if (value.isFinite()) JsonPrimitive(value) else JsonPrimitive(value.toString())
        is Number -> JsonPrimitive(value)
        else -> JsonPrimitive(value?.toString())
    }

    private companion object {
        val NOTHING = ByteArray(0)
    }
}
