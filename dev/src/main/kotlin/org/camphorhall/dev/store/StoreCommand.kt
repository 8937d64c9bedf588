package org.camphorhall.dev.store

import com.github.ajalt.clikt.core.Context
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.camphorhall.dev.ServerCommand
import org.camphorhall.dev.http.TestServer
import kotlin.time.Duration.Companion.milliseconds

/** Runs [StoreService] and ends expired leases periodically. */
internal class StoreCommand : ServerCommand("store") {
    override fun help(context: Context): String = "Runs a key-value service with compare-and-swap, leases and watches."

    override suspend fun start(): StartedServer {
        val service = StoreService()
        val server = TestServer.start(host, port, service.faults) { service.defineEndpoints(this) }
        CoroutineScope(Dispatchers.Default).launch {
            while (true) {
                delay(LEASE_CHECK_PERIOD)
                service.expireLeases()
            }
        }
        return StartedServer(server.port) { server.stop() }
    }

    private companion object {
        val LEASE_CHECK_PERIOD = 50.milliseconds
    }
}
