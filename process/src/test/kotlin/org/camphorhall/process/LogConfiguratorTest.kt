package org.camphorhall.process

import ch.qos.logback.classic.Level
import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.spi.LoggingEvent
import ch.qos.logback.classic.util.LogbackMDCAdapter
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.junit.jupiter.api.Test
import org.slf4j.event.KeyValuePair
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import java.time.Instant

internal class LogConfiguratorTest {
    private val context = LoggerContext().apply { mdcAdapter = LogbackMDCAdapter() }
    private val logger = context.getLogger("org.camphorhall.Sample")

    private fun encoded(message: String, cause: Throwable? = null, vararg fields: Pair<String, Any?>): JsonObject {
        val event = LoggingEvent("", logger, Level.WARN, message, cause, null)
        event.instant = Instant.ofEpochMilli(0)
        event.keyValuePairs = fields.map { (k, v) -> KeyValuePair(k, v) }
        val line = JsonLineEncoder().encode(event).decodeToString()
        expectThat(line.count { it == '\n' }).describedAs("lines of $line").isEqualTo(1)
        return Json.parseToJsonElement(line).jsonObject
    }

    /** Guards against log lines that tools cannot parse: line breaks within a line, numbers and booleans as strings. */
    @Test
    fun `an event is one JSON line and its fields keep their types`() {
        val fields = mapOf("count" to 3, "share" to 0.5, "isReady" to true, "job" to "a\"b\nc", "gone" to null)
        val line = encoded("two\nlines", null, *fields.toList().toTypedArray())
        expectThat(line["message"]).isEqualTo(JsonPrimitive("two\nlines"))
        expectThat(line["level"]).isEqualTo(JsonPrimitive("WARN"))
        expectThat(line["@timestamp"]).isEqualTo(JsonPrimitive("1970-01-01T00:00:00Z"))
        expectThat(line["count"]).isEqualTo(JsonPrimitive(3))
        expectThat(line["share"]).isEqualTo(JsonPrimitive(0.5))
        expectThat(line["isReady"]).isEqualTo(JsonPrimitive(true))
        expectThat(line["job"]).isEqualTo(JsonPrimitive("a\"b\nc"))
    }

    /** Guards against a log line without the cause of the logged exception. */
    @Test
    fun `an error is logged with its cause`() {
        val line = encoded("failed", IllegalStateException("outer", IllegalArgumentException("inner")))
        expectThat(line.getValue("stack_trace").jsonPrimitive.content).contains("inner")
    }
}
