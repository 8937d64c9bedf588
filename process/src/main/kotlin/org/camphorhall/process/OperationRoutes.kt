package org.camphorhall.process

import io.ktor.http.ContentType
import io.ktor.http.HttpMethod
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.httpMethod
import io.ktor.server.request.path
import io.ktor.server.response.respondText
import io.ktor.server.routing.Route
import io.ktor.server.routing.get

/** Adds `/metrics`, `/healthz` and `/readyz`; the last returns 503 while [isReady] is false. */
public fun Route.operationRoutes(metrics: Metrics, isReady: () -> Boolean) {
    for (path in operationPaths) get(path) { call.respondOperation(metrics, isReady) }
}

/** Responds to `/metrics`, `/healthz` and `/readyz`, and with 404 to other paths; for servers without routing. */
public suspend fun ApplicationCall.respondOperation(metrics: Metrics, isReady: () -> Boolean): Unit =
    when (request.path().takeIf { request.httpMethod == HttpMethod.Get }) {
        METRICS_PATH -> respondText(metrics.text(), ContentType.parse(Metrics.CONTENT_TYPE))
        HEALTH_PATH -> respondText("ok\n")
        READY_PATH -> {
            val isReadyNow = isReady()
            respondText(
                if (isReadyNow) "ready\n" else "not ready\n",
                status = if (isReadyNow) HttpStatusCode.OK else HttpStatusCode.ServiceUnavailable,
            )
        }
        else -> respondText("", status = HttpStatusCode.NotFound)
    }

private const val METRICS_PATH = "/metrics"
private const val HEALTH_PATH = "/healthz"
private const val READY_PATH = "/readyz"
private val operationPaths = listOf(METRICS_PATH, HEALTH_PATH, READY_PATH)
