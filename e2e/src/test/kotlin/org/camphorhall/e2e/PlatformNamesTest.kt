package org.camphorhall.e2e

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import java.nio.file.Files
import kotlin.io.path.extension
import kotlin.io.path.readText

/** Guards against names of the users' platform outside its adapter, which would have to change with the platform. */
class PlatformNamesTest {
    private val names = listOf(
        "/v1/kv", "/v1/run", "/v1/hold", "/v1/pace", "/v1/ready", "/v1/instances", "/v1/machine",
        "op/config", "kv-", "X-Duty", "X-Fencing", "X-Expected", "X-Deadline", "last-seen", "until-ms",
        "fencing-token", "store-revision", "slo-ms", "run-start", "saves-progress", "long-running\"", "mem-mb",
    )

    private val modules = listOf("core", "wire", "process", "entry", "agent", "scheduler", "cli", "bench")

    @Test
    fun `only the adapter contains names of the platform`() {
        val found = modules.flatMap { module ->
            val sources = repositoryRoot.resolve("$module/src/main/kotlin")
            Files.walk(sources).use { files ->
                files.filter { it.extension == "kt" }.toList().flatMap { file ->
                    val text = file.readText()
                    names.filter { "\"$it" in text || it in text && it.startsWith("X-") }.map { "$file: $it" }
                }
            }
        }
        expectThat(found).isEmpty()
    }
}
