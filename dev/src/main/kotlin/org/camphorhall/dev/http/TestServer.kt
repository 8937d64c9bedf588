package org.camphorhall.dev.http

import io.ktor.server.application.install
import io.ktor.server.cio.CIO
import io.ktor.server.engine.embeddedServer
import io.ktor.server.http.HttpRequestLifecycle
import io.ktor.server.routing.routing

/** HTTP server that listens on [port] until [stop]. */
internal class TestServer private constructor(val port: Int, private val onStop: () -> Unit) {
    fun stop() = onStop()

    companion object {
        /** Starts a server; port 0 selects a free port. */
        suspend fun start(
            host: String,
            port: Int,
            faults: FaultInjector,
            defineEndpoints: Endpoints.() -> Unit,
        ): TestServer {
            val server = embeddedServer(CIO, port = port, host = host) {
                // Cancels requests whose callers disconnected; a fault or a watch would otherwise keep them in memory.
                install(HttpRequestLifecycle) { cancelCallOnClose = true }
                routing { Endpoints(this, faults).defineEndpoints() }
            }
            server.startSuspend(wait = false)
            return TestServer(server.engine.resolvedConnectors().first().port) {
                server.stop(SHUTDOWN_GRACE_MILLIS, SHUTDOWN_TIMEOUT_MILLIS)
            }
        }

        private const val SHUTDOWN_GRACE_MILLIS = 100L

        // A request that a fault suspends never completes, so stopping must not wait for it.
        private const val SHUTDOWN_TIMEOUT_MILLIS = 500L
    }
}
