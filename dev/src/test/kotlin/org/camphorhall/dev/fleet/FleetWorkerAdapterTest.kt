package org.camphorhall.dev.fleet

import arrow.core.getOrElse
import kotlinx.coroutines.runBlocking
import org.camphorhall.core.jobs.TaskRef
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

/** The adapter to the users' workers against a stand-in that speaks the published protocol. */
internal class FleetWorkerAdapterTest {
    private val service = FleetWorkerService("worker", "service", cpu = 1_000)
    private val server = runBlocking {
        TestServer.start("127.0.0.1", 0, service.faults) { service.defineEndpoints(this) }
    }

    // The first call of a test process loads the classes of client and server, which takes up to a second beside load.
    private val worker = fleetTaskWorker("127.0.0.1:${server.port}", "worker", 1.seconds, 3.seconds)

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

    /** Guards against starts on a worker that fails them, and against a refusal that is taken for one without room. */
    @Test
    fun `a worker tells its health when asked and when it is given work`() = runBlocking<Unit> {
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
