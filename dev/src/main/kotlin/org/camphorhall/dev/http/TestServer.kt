package org.camphorhall.dev.http

import io.ktor.server.application.install
import io.ktor.server.cio.CIO
import io.ktor.server.engine.embeddedServer
import io.ktor.server.http.HttpRequestLifecycle
import io.ktor.server.routing.routing

/** A running HTTP server on [port]. */
internal class TestServer private constructor(val port: Int, private val onStop: () -> Unit) {
    fun stop() = onStop()

    companion object {
        /** Starts a server; port 0 takes a free one. */
        suspend fun start(
            host: String,
            port: Int,
            faults: FaultInjector,
            defineEndpoints: Endpoints.() -> Unit,
        ): TestServer {
            val server = embeddedServer(CIO, port = port, host = host) {
                // Ends the calls whose callers have gone, which a fault or a watch would keep in memory.
                install(HttpRequestLifecycle) { cancelCallOnClose = true }
                routing { Endpoints(this, faults).defineEndpoints() }
            }
            server.startSuspend(wait = false)
            return TestServer(server.engine.resolvedConnectors().first().port) {
                server.stop(SHUTDOWN_GRACE_MILLIS, SHUTDOWN_TIMEOUT_MILLIS)
            }
        }

        private const val SHUTDOWN_GRACE_MILLIS = 100L

        // Calls held by a fault never end by themselves.
        private const val SHUTDOWN_TIMEOUT_MILLIS = 500L
    }
}
