package org.camphorhall.scheduler.support

import io.github.oshai.kotlinlogging.KotlinLogging
import io.github.oshai.kotlinlogging.Level
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.application.ApplicationCallPipeline
import io.ktor.server.cio.CIO
import io.ktor.server.cio.CIOApplicationEngine
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.connector
import io.ktor.server.engine.embeddedServer
import io.ktor.server.response.respondText
import kotlinx.coroutines.CancellationException
import org.camphorhall.process.event

private val logger = KotlinLogging.logger {}

/**
 * Creates one HTTP server for several [handlers] by address, host:port. Handlers are found by the port of the call,
 * without Ktor's routing, which a process loads and builds at its start.
 */
internal fun httpServer(
    handlers: Map<String, suspend ApplicationCall.() -> Unit>,
): EmbeddedServer<CIOApplicationEngine, CIOApplicationEngine.Configuration> {
    val byPort = handlers.mapKeys { portOf(it.key) }
    val failures = LogLimit(SystemClock)
    return embeddedServer(
        CIO,
        configure = {
            for (address in handlers.keys) {
                connector {
                    host = hostOf(address)
                    port = portOf(address)
                }
            }
        },
    ) {
        intercept(ApplicationCallPipeline.Call) { respond(context, byPort, failures) }
    }
}

@Suppress("TooGenericExceptionCaught") // One bad call must not end the connection of the others.
private suspend fun respond(
    call: ApplicationCall,
    byPort: Map<Int, suspend ApplicationCall.() -> Unit>,
    failures: LogLimit,
) {
    try {
        byPort.getValue(call.request.local.localPort).invoke(call)
    } catch (e: CancellationException) {
        throw e
    } catch (e: Exception) {
        failures.log { suppressed ->
            logger.event(Level.WARN, "call failed", "reason" to e, "suppressed" to suppressed)
        }
        call.respondText("", status = HttpStatusCode.InternalServerError)
    }
}
