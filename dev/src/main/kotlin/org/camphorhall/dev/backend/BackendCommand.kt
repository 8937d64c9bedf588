package org.camphorhall.dev.backend

import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.options.associate
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.multiple
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.camphorhall.core.model.Resources
import org.camphorhall.dev.ServerCommand
import org.camphorhall.dev.http.TestServer
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.time.Duration.Companion.milliseconds

/** Runs a sample backend server. */
internal class BackendCommand : ServerCommand("backend") {
    private val id by option(help = "id of the backend server").default("backend-1")
    private val agent by option(help = "URL of the agent's HTTP port; without it the server is not announced")
    private val classes by option("--class", help = "class to serve; may be repeated").multiple(listOf("default"))
    private val serviceMillis by option(help = "class=ms, service time of a class; may be repeated").associate()
    private val slots by option(help = "maximum number of concurrent requests").int().default(8)
    private val connections by option(help = "announced number of connections").int().default(64)
    private val cpuMillis by option(help = "CPU per request, in millicores").long().default(500)
    private val memoryMib by option(help = "memory per request, in MiB").long().default(64)
    private val accelerators by option(help = "accelerators per request").int().default(0)
    private val ttlMillis by option(help = "TTL of an announcement, in ms").long().default(5_000)
    private val drainLimitMillis by option(help = "timeout of the drain at shutdown, in ms").long().default(30_000)

    override fun help(context: Context): String = "Runs a backend server that echoes each request."

    override suspend fun start(): StartedServer {
        val service = BackendService(slots, serviceMillis.mapValues { it.value.toLong().milliseconds })
        val server = TestServer.start(host, port, service.faults) { service.defineEndpoints(this) }
        val announcer = agent?.let { Announcer(it, id) }
        val leaving = AtomicBoolean()
        val announcement = {
            Announcer.Announcement(
                classes,
                "http://$host:${server.port}",
                slots,
                connections,
                Resources(cpuMillis, memoryMib, accelerators),
                ttlMillis,
                running = service.counts.inFlight,
                leaving = leaving.get(),
            )
        }
        val announcing = CoroutineScope(Dispatchers.Default).launch { announcer?.announce(announcement) }
        return StartedServer(server.port) {
            leaving.set(true)
            announcer?.sendLeaveNotice()
            service.counts.recordLeaveNotice(System.nanoTime())
            // Announcements continue during the drain: an agent that restarts must receive the requests that run here.
            withTimeoutOrNull(drainLimitMillis.milliseconds) { service.awaitIdle(IDLE_PERIOD) }
            announcing.cancelAndJoin()
            server.stop()
        }
    }

    private companion object {
        // Requests that the agent sent just before it received the leave notice may still be in transit.
        val IDLE_PERIOD = 250.milliseconds
    }
}
