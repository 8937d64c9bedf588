package org.camphorhall.scheduler.support

import io.ktor.server.application.Application
import io.ktor.server.cio.CIO
import io.ktor.server.cio.CIOApplicationEngine
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.embeddedServer

/** Creates an HTTP server at [address], host:port. */
internal fun httpServer(
    address: String,
    module: Application.() -> Unit,
): EmbeddedServer<CIOApplicationEngine, CIOApplicationEngine.Configuration> =
    embeddedServer(
        CIO,
        port = address.substringAfterLast(':').toInt(),
        host = address.substringBeforeLast(':'),
        module = module,
    )
