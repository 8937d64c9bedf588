package org.camphorhall.dev.fleet

import arrow.core.getOrElse
import kotlinx.coroutines.runBlocking
import org.camphorhall.core.jobs.TaskRef
import org.camphorhall.core.jobs.WorkerKey
import org.camphorhall.dev.http.TestServer
import org.camphorhall.platform.fleet.fleetTaskWorker
import org.camphorhall.platform.worker.StartRequest
import org.camphorhall.platform.worker.StartResult
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse.BodyHandlers
import kotlin.time.Duration.Companion.seconds

/** Tests the adapter for the users' workers against a stand-in that speaks their protocol. */
internal class FleetWorkerAdapterTest {
    private val service = FleetWorkerService("worker", "service", cpu = 1_000)
    private val server = runBlocking {
        TestServer.start("127.0.0.1", 0, service.faults) { service.defineEndpoints(this) }
    }

    // The first request of a test process loads client and server classes, which takes up to a second under load.
    private val worker =
        fleetTaskWorker("127.0.0.1:${server.port}", WorkerKey("instance", "worker", 0), 1.seconds, 3.seconds)

    @AfterEach
    fun stop() {
        worker.close()
        server.stop()
    }

    private fun debug(path: String) {
        val request = HttpRequest.newBuilder(URI("http://127.0.0.1:${server.port}/debug/$path"))
            .PUT(HttpRequest.BodyPublishers.noBody()).build()
        HttpClient.newHttpClient().send(request, BodyHandlers.discarding())
    }

    /** Guards against starts on an unhealthy worker, and against reporting its rejection as missing free capacity. */
    @Test
    fun `an unhealthy worker fails its health check and rejects starts as unhealthy`() = runBlocking<Unit> {
        val clock = worker.poll(token = 1, lastSeenEnd = 0, leaseUntilMillis = null, 0.seconds)
            .getOrElse { error("$it") }
        val call = StartRequest(TaskRef("00000000000000aa", 0, 0, 0), 1, "1000", "", clock.time.millis + 3_000, 1)
        expectThat(worker.isHealthy("/health").getOrNull()).isEqualTo(true)
        debug("unhealthy")
        expectThat(worker.isHealthy("/health").getOrNull()).isEqualTo(false)
        expectThat(worker.start(call)).isA<StartResult.Unhealthy>()
        debug("healthy")
        expectThat(worker.start(call)).isEqualTo(StartResult.Started)
    }
}
