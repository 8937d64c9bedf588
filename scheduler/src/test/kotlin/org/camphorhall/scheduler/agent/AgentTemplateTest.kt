package org.camphorhall.scheduler.agent

import org.camphorhall.core.jobs.JobShardSettings
import org.camphorhall.process.parseSettings
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.nio.file.Files
import java.nio.file.Path

/** Tests the settings that the platform makes from the agent's template in `deploy/`. */
internal class AgentTemplateTest {
    private val template = Files.readString(Path.of("../deploy/agent.json.tmpl"))

    private val fields = mapOf(
        "node-name" to "side-1",
        "listen-addrs.control" to "10.1.0.13:8166",
        "ip" to "10.1.0.13",
        "port-range.0" to "7720",
        "port-range.1" to "7721",
        "platform.address" to "10.200.1.7:8169",
    )

    /** Fills the template as DEPLOY describes it: inverted sections, then values. */
    private fun fill(values: Map<String, String>): String {
        val inverted = Regex("\\{\\{\\^([a-z0-9._-]+)}}(.*?)\\{\\{/\\1}}", RegexOption.DOT_MATCHES_ALL)
        return template.replace(inverted) { if (it.groupValues[1] in values) "" else it.groupValues[2] }
            .replace(Regex("\\{\\{([a-z0-9._-]+)(\\|json)?}}")) { values[it.groupValues[1]].orEmpty() }
    }

    /** Further bounds with their settings, each stated alone, and one value that is invalid. */
    private val furtherBounds: List<FurtherBound> = listOf(
        FurtherBound("bounds.stop-timeout-ms", "400", "0", "stopTimeoutMillis") { it.stopTimeoutMillis },
        FurtherBound("bounds.restore-ms", "250", "-1", "restoreMillis") { it.restoreMillis },
        FurtherBound("bounds.status_s", "300", "0", "jobStatusSeconds") { it.jobStatusSeconds },
        FurtherBound("bounds.evacuate-ms", "5000", "2000", "evacuationMillis") { it.evacuationMillis },
    )

    private class FurtherBound(
        val field: String,
        val valid: String,
        val invalid: String,
        val path: String,
        val valueIn: (SchedulerAgentOptions) -> Long?,
    )

    private fun parse(text: String) = parseSettings(text, SchedulerAgentOptions.serializer(), ::checkAgentOptions)

    /** Guards against an agent that goes on with the bounds of another deployment. */
    @Test
    fun `each further bound reaches its setting and is checked`() {
        for (b in furtherBounds) {
            val valid = parse(fill(fields + (b.field to b.valid))).getOrNull()
            expectThat(valid?.let(b.valueIn)).describedAs(b.field).isEqualTo(b.valid.toLong())
            val problems = parse(fill(fields + (b.field to b.invalid))).leftOrNull()?.map { it.path }
            expectThat(problems).describedAs(b.field).isEqualTo(listOf(b.path))
        }
        val shard = parse(fill(fields + furtherBounds.associate { it.field to it.valid })).getOrNull()?.shardSettings()
        expectThat(shard).isEqualTo(
            JobShardSettings(
                maxStopMillis = 400,
                restoreMillis = 250,
                retentionMillis = 330_000,
                evacuationMillis = 5_000,
            ),
        )
    }

    /** The settings for the longest lease and the factor, or the paths of invalid ones. */
    private fun settingsOf(text: String) = parseSettings(text, SchedulerAgentOptions.serializer(), ::checkAgentOptions)
        .fold({ problems -> problems.map { it.path } }, { listOf(it.maxLeaseMillis, it.crossRackFactor) })

    private val defaults =
        listOf(SchedulerAgentOptions.DEFAULT_MAX_LEASE_MILLIS, SchedulerAgentOptions.DEFAULT_CROSS_RACK_FACTOR)

    private val cases = mapOf(
        mapOf("bounds.hold-max-ms" to "6000", "bounds.far-factor" to "1.5") to listOf(6_000L, 1.5),
        mapOf("bounds.hold-max-ms" to "10000", "bounds.far-factor" to "3") to listOf(10_000L, 3.0),
        mapOf("bounds.hold-max-ms" to "10000") to listOf(10_000L, defaults[1]),
        mapOf("bounds.far-factor" to "2.5") to listOf(defaults[0], 2.5),
        mapOf("bounds.hold-max-ms" to "0") to listOf("maxLeaseMillis"),
        mapOf("bounds.hold-max-ms" to "600001", "bounds.far-factor" to "0.5") to
            listOf("maxLeaseMillis", "crossRackFactor"),
        emptyMap<String, String>() to defaults,
    )

    /** Guards against an agent that proves the end of a task with a shorter lease than the platform's workers take. */
    @Test
    fun `the settings follow the bounds of the platform`() {
        for ((bounds, expected) in cases) {
            expectThat(settingsOf(fill(fields + bounds))).describedAs("$bounds").isEqualTo(expected)
        }
    }

    /** Guards against an agent that does not start where the placeholders of the bounds are left as they are. */
    @Test
    fun `a template whose bounds are not filled still gives the defaults`() {
        val filled = fields.entries.fold(template) { text, (name, value) -> text.replace("{{$name}}", value) }
        expectThat(settingsOf(filled)).isEqualTo(defaults)
    }
}
