package org.camphorhall.core.jobs

import kotlinx.serialization.builtins.MapSerializer
import kotlinx.serialization.builtins.serializer
import kotlinx.serialization.json.Json
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isFailure
import strikt.assertions.isNull

internal class TaskRefTest {
    private class Case(val ref: TaskRef, val text: String, val slashes: String)

    /** Entries accept 16 hexadecimal digits; records of other writers may hold any id. */
    private val cases = listOf(
        Case(TaskRef("a7b7a35296c61bd5", 0, 0, 5), "a7b7a35296c61bd5.0.0.5", "a7b7a35296c61bd5/0/0/5"),
        Case(TaskRef("A7B7A35296C61BD5", 12, 3, 99_999), "A7B7A35296C61BD5.12.3.99999", "A7B7A35296C61BD5/12/3/99999"),
        Case(TaskRef("a.b", 0, 1, 2), "a.b.0.1.2", "a.b/0/1/2"),
        Case(TaskRef("a/b", 0, 1, 2), "a/b.0.1.2", "a/b/0/1/2"),
        Case(TaskRef("a.1.2.3", 0, 1, 2), "a.1.2.3.0.1.2", "a.1.2.3/0/1/2"),
        Case(TaskRef("a/1/2/3", 0, 1, 2), "a/1/2/3.0.1.2", "a/1/2/3/0/1/2"),
        Case(TaskRef("", 0, 1, 2), ".0.1.2", "/0/1/2"),
    )

    /** Guards against logs that name a task otherwise than callers and workers do, so that a search misses it. */
    @Test
    fun `the text form has dots and is parsed again`() {
        for (case in cases) {
            expectThat(case.ref.toString()).isEqualTo(case.text)
            expectThat(TaskRef.parse(case.text)).describedAs(case.text).isEqualTo(case.ref)
        }
    }

    /** Guards against a text that is taken for a task which this system has not named. */
    @Test
    fun `other texts are no task`() {
        val texts = listOf(
            "", "x", "a.0.1", "a.b.c.d", "a.0.1.x", "a.0.1.-2", "a.-1.1.2", "a.0.1.", "a.0.1.2 ", "a.0.1.99999999999",
            "a7b7a35296c61bd5/0/0/5", "a/0.1.2",
        )
        for (text in texts) expectThat(TaskRef.parse(text)).describedAs(text).isNull()
    }

    /** Guards against frames that fail between processes of this build and of one that knows only slashes. */
    @Test
    fun `messages are written with slashes and read with either separator`() {
        val keys = MapSerializer(TaskRef.serializer(), Int.serializer())
        for (case in cases) {
            val (text, slashes) = "\"${case.text}\"" to "\"${case.slashes}\""
            expectThat(Json.encodeToString(TaskRef.serializer(), case.ref)).isEqualTo(slashes)
            expectThat(Json.encodeToString(keys, mapOf(case.ref to 1))).isEqualTo("{$slashes:1}")
            for (form in listOf(text, slashes)) {
                expectThat(Json.decodeFromString(TaskRef.serializer(), form)).describedAs(form).isEqualTo(case.ref)
                expectThat(Json.decodeFromString(keys, "{$form:1}")).describedAs(form).isEqualTo(mapOf(case.ref to 1))
            }
        }
        for (form in listOf("\"\"", "\"a.0.1\"", "\"a/0/1\"", "\"a/0.1/2\"", "\"a.0.1/2\"", "\"a/0/1/-2\"")) {
            expectThat(runCatching { Json.decodeFromString(TaskRef.serializer(), form) }).describedAs(form).isFailure()
                .isA<IllegalArgumentException>()
        }
    }
}
