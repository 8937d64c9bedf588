package org.camphorhall.e2e

import kotlinx.serialization.json.JsonObject
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.BeforeAll
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.contains
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThanOrEqualTo

/** P9 and durability: acknowledged jobs and configuration changes survive restarts of entries. */
internal class EntryRestartTest {
    /** Guards against submissions that are acknowledged before they are durable, and against loss of configuration. */
    @Test
    fun `acknowledged jobs finish after all entries are killed at once`() {
        val before = d.entries[0].config()
        val responses = inParallel(24) { d.entries[it % 2].submit(runMillis = 400, cpuMillis = 300) }
        d.entries.forEach { it.process.kill() }
        expectThat(responses.map { it.status }).all { isEqualTo(202) }
        d.entries.forEach { it.process.restart() }
        val firstConfigs = d.entries.map { awaitConfig(it) }
        d.awaitReady()
        for (r in responses) expectThat(d.entries[0].awaitEnd(r.json.text("id"))).hasJobState("done")
        for (c in firstConfigs + d.entries.map { it.config() }) {
            expectThat(c.number("version")).isGreaterThanOrEqualTo(before.number("version"))
            expectThat(c.list("items")).contains(before.list("items"))
        }
        expectNoOverlappingRuns(d.runs)
        expectResumedFromCheckpoints(d.runs)
    }

    /** Guards against lost updates, and against an accepted change that is reverted later. */
    @Test
    fun `one of two concurrent configuration updates is rejected and returns the item of the other`() {
        repeat(ROUNDS) { round ->
            val item = d.entries[0].config().list("items").firstOrNull { it.text("type") == "class" && isRaced(it) }
            val version = item?.number("version") ?: 0
            val targets = listOf(1_000L + round, 2_000L + round)
            val responses = inParallel(2) {
                d.entries[it].setClass("raced", "answer-within", targets[it], ifMatch = version)
            }
            expectThat(responses.map { it.status }).containsExactlyInAnyOrder(200, 412)
            val winner = responses.indexOfFirst { it.status == 200 }
            val accepted = responses[winner].json.number("version")
            expectThat(responses[1 - winner].text).contains("\"millis\":${targets[winner]}")
            for (e in d.entries) {
                awaitCondition("the entry has the accepted change") { e.configVersion >= accepted }
                val now = e.config().list("items").single(::isRaced).toString()
                expectThat(now).contains("\"millis\":${targets[winner]}")
            }
        }
        val version = d.entries[1].configVersion
        d.entries[1].process.kill()
        d.entries[1].process.restart()
        expectThat(awaitConfig(d.entries[1]).number("version")).isGreaterThanOrEqualTo(version)
        for (w in d.workers) awaitCondition("${w.id} has the configuration") { w.configVersion >= version }
    }

    private fun isRaced(item: JsonObject) = "\"raced\"" in item.toString()

    /** Waits for the first configuration that a restarted entry returns. */
    private fun awaitConfig(e: EntryInstance) = awaitValue("${e.process.name} returns a configuration") {
        Http.call("GET", "${e.url}/v1/config").takeIf { it.status == 200 }?.json
    }

    companion object {
        private const val ROUNDS = 5
        private lateinit var d: Deployment

        @JvmStatic
        @BeforeAll
        fun start() {
            d = Deployment("entries", taskLeaseMillis = 2_000)
            repeat(2) { d.addEntry() }
            repeat(2) { d.addWorker() }
            d.awaitReady()
            d.setClasses()
        }

        @JvmStatic
        @AfterAll
        fun stop() = d.close()
    }
}
