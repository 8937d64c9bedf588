package org.camphorhall.e2e

import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.BeforeAll
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isGreaterThan

/** Stalled connections, which stay open but deliver no data, are detected and replaced. */
internal class SilentConnectionTest {
    /** Guards against requests that hang on a stalled connection or run again after it is replaced. */
    @Test
    fun `a stalled connection from an entry to an agent loses and duplicates no request`() {
        val quotes = LoadGenerator(3) { d.entries[0].request("quotes", "quote-$it") }
        val orders = LoadGenerator(3) { d.entries[0].request("orders", "order-$it", key = "order-$it") }
        val worker = d.workers[0]
        awaitCondition("the worker serves") { worker.requestRunCounts.size > 20 }
        agentRelay.setFaults("""{"silent":true}""")
        val before = worker.requestRunCounts.keys
        awaitCondition("the worker serves over a new connection") { (worker.requestRunCounts.keys - before).size > 20 }
        val quoteResponses = quotes.stop()
        expectThat(quoteResponses.filter { it.status != 200 }.map { it.text }).isEmpty()
        val orderResponses = orders.stop()
        expectThat(orderResponses.count { it.status == 200 }).isGreaterThan(0)
        val runs = d.workers.flatMap { it.requestRunCounts.entries }.filter { it.key.startsWith("order-") }
        expectThat(runs.groupBy({ it.key }, { it.value }).filterValues { it.sum() > 1 }.keys).isEmpty()
        val rejected = orderResponses.filter { it.outcome == "not-run" }.mapNotNull { it.headers["x-request-id"] }
        expectThat(rejected.filter { id -> runs.any { it.key == id } }).isEmpty()
    }

    /** Guards against heartbeats on a connection that never recovers. Agents and the other entry use the relay. */
    @Test
    fun `stalled connections from agents to an entry are replaced while the other entry serves`() {
        val quotes = LoadGenerator(3) { d.entries[1].request("quotes", "other-$it") }
        awaitCondition("agents and the other entry are connected") { entryRelay.openConnections >= 3 }
        val before = entryRelay.openConnections
        entryRelay.setFaults("""{"silent":true}""")
        // The relay keeps stalled connections open, so their replacements add to the count.
        awaitCondition("all connections are replaced") { entryRelay.openConnections >= 2 * before }
        expectThat(quotes.stop().filter { it.status != 200 }.map { it.text }).isEmpty()
        awaitCondition("the entry serves") {
            inParallel(1) { d.entries[0].request("quotes", "again") }[0].status == 200
        }
    }

    companion object {
        private lateinit var d: Deployment
        private lateinit var agentRelay: RelayInstance
        private lateinit var entryRelay: RelayInstance

        @JvmStatic
        @BeforeAll
        fun start() {
            d = Deployment("silent")
            val (entryPort, agentPort) = freePort() to freePort()
            entryRelay = d.addRelay(entryPort)
            agentRelay = d.addRelay(agentPort)
            d.addEntry(entryPort, advertise = entryRelay.address)
            d.addEntry()
            d.addWorker(classes = listOf("quotes", "orders"), grpc = agentPort, advertise = agentRelay.address)
            d.addWorker(classes = listOf("quotes", "orders"))
            d.awaitReady()
            d.setClasses()
        }

        @JvmStatic
        @AfterAll
        fun stop() = d.close()
    }
}
