package org.camphorhall.dev.relay

import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.options.convert
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import io.ktor.server.cio.CIO
import io.ktor.server.engine.embeddedServer
import io.ktor.server.response.respondText
import io.ktor.server.routing.get
import io.ktor.server.routing.put
import io.ktor.server.routing.routing
import org.camphorhall.dev.ServerCommand
import org.camphorhall.dev.http.BufferedResponse
import org.camphorhall.dev.http.bodyText

/** Runs a TCP relay that injects faults; `--port` is its HTTP control port. */
internal class RelayCommand : ServerCommand("relay") {
    private val listen by option(help = "host:port to accept connections on; port 0 selects a free port")
        .convert { address(it) ?: fail("\"$it\" is not host:port") }
        .default("127.0.0.1" to 0)
    private val to by option(help = "host:port to forward to")
        .convert { address(it) ?: fail("\"$it\" is not host:port") }
        .required()

    override fun help(context: Context): String = "Forwards TCP connections and injects faults set by PUT /faults."

    override suspend fun start(): StartedServer {
        val relay = Relay.listen(listen.first, listen.second, to.first, to.second)
        val control = embeddedServer(CIO, port = port, host = host) {
            routing {
                get("/faults") { call.respondText(BufferedResponse.format.encodeToString(relay.faults)) }
                put("/faults") {
                    relay.setFaults(BufferedResponse.format.decodeFromString(call.bodyText()))
                    call.respondText(BufferedResponse.format.encodeToString(relay.faults))
                }
                get("/debug/connections") { call.respondText("{\"open\":${relay.openConnections}}") }
            }
        }
        control.startSuspend(wait = false)
        val controlPort = control.engine.resolvedConnectors().first().port
        return StartedServer(controlPort, ",\"relayPort\":${relay.port}") {
            relay.stop()
            control.stop(0, 0)
        }
    }

    private fun address(text: String): Pair<String, Int>? =
        text.substringAfterLast(':').toIntOrNull()?.let { text.substringBeforeLast(':') to it }
}
