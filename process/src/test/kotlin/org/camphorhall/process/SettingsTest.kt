package org.camphorhall.process

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNotNull
import java.nio.file.Path

class SettingsTest {
    @Serializable
    enum class Mode {
        @SerialName("fast")
        Fast,

        @SerialName("safe")
        Safe,
    }

    @Serializable
    sealed interface Store {
        @Serializable
        @SerialName("http")
        data class Http(val url: String) : Store

        @Serializable
        @SerialName("memory")
        data object Memory : Store
    }

    @Serializable
    data class Limits(val queue: Int, val share: Double = 0.5)

    @Serializable
    data class Sample(
        val listen: String,
        val token: Secret,
        val mode: Mode = Mode.Safe,
        val seeds: List<String> = emptyList(),
        val limits: Limits,
        val store: Store = Store.Memory,
        val rack: String? = null,
        val weights: Map<String, Long> = emptyMap(),
        val verbose: Boolean = false,
    )

    private val valid = """{
        // the address that callers use
        "listen": "127.0.0.1:8080", "token": "hunter2", /* both kinds of comments */
        "limits": {"queue": 3}, "store": {"type": "http", "url": "http://x"}, "rack": null,
    }"""

    private fun problems(text: String, check: (Sample) -> List<SettingsProblem> = { emptyList() }) =
        parseSettings(text, Sample.serializer(), check).leftOrNull().orEmpty()

    @Test
    fun `comments, defaults, nulls and sealed types are read`() {
        expectThat(parseSettings(valid, Sample.serializer()).getOrNull()).isNotNull().and {
            get { listen } isEqualTo "127.0.0.1:8080"
            get { store } isEqualTo Store.Http("http://x")
            get { token.reveal() } isEqualTo "hunter2"
        }
    }

    // Guards against a report that stops at the first error and makes operators fix a file one error at a time.
    @Test
    fun `one report lists every kind of error`() {
        val text = """{"listn": "a:1", "token": 7, "mode": "slow", "seeds": ["a:1", 2, null], "weights": {"x": "1"},
            "limits": {"queue": 3000000000, "share": "0.5", "deep": {}}, "store": {"type": "http"}, "rack": [],
            "verbose": "true"}"""
        expectThat(problems(text).map { it.path to it.found }).containsExactlyInAnyOrder(
            "listn" to "unknown field",
            "listen" to "missing field",
            "token" to "(hidden)",
            "mode" to "\"slow\"",
            "seeds[1]" to "2",
            "seeds[2]" to "null",
            "weights.x" to "\"1\"",
            "limits.queue" to "3000000000",
            "limits.share" to "\"0.5\"",
            "limits.deep" to "unknown field",
            "store.url" to "missing field",
            "rack" to "a list",
            "verbose" to "\"true\"",
        )
        expectThat(problems(text).single { it.path == "mode" }.valid) isEqualTo "one of fast, safe"
        expectThat(problems(text).single { it.path == "limits.queue" }.valid)
            .isEqualTo("a whole number from -2147483648 to 2147483647")
    }

    @Test
    fun `an unknown case of a sealed type is reported with the valid cases`() {
        val p = problems(valid.replace("\"http\"", "\"disk\"")).single()
        expectThat(p) isEqualTo SettingsProblem("store.type", "disk", "one of http, memory")
    }

    @Test
    fun `the program's own checks are reported together`() {
        val p = problems(valid) {
            checkSettings {
                positive("limits.queue", it.limits.queue - 3)
                range("limits.share", it.limits.share, 0.6..1.0)
                address("listen", it.listen.substringBefore(':'))
                notBlank("rack", it.rack ?: " ")
            }
        }
        expectThat(p.map { it.path to it.found }).containsExactlyInAnyOrder(
            "limits.queue" to "0",
            "limits.share" to "0.5",
            "listen" to "\"127.0.0.1\"",
            "rack" to "\" \"",
        )
    }

    @ParameterizedTest
    @CsvSource(
        "127.0.0.1:80, true", "host:65535, true", "[::1]:80, true", "host:0, false", "host:65536, false",
        "host, false", ":80, false", "'a b:80', false", "host:x, false", "'', false",
    )
    fun `addresses are host and port`(text: String, ok: Boolean) {
        expectThat(checkSettings { address("a", text) }.isEmpty()) isEqualTo ok
    }

    // Guards against a secret in the error: the parser's message quotes the file around the error.
    @Test
    fun `a syntax error is reported with its position and without any part of the file`() {
        val p = problems("{\n  \"token\": \"hunter2\",\n  \"listen\" 5 }").single()
        expectThat(p.found) isEqualTo "a syntax error at line 3, column 12"
        expectThat("$p".contains("hunter2")).isFalse()
    }

    @Test
    fun `a file that cannot be read is a settings problem`(@TempDir dir: Path) {
        expectThat(readSettings(dir.resolve("none.json"), Sample.serializer()).leftOrNull()).isNotNull().hasSize(1)
    }

    @Test
    fun `a secret does not appear in the text of its settings`() {
        expectThat(parseSettings(valid, Sample.serializer()).getOrNull().toString().contains("hunter2")).isFalse()
    }
}
