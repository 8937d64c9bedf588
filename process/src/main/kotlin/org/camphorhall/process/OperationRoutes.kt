package org.camphorhall.process

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.response.respondText
import io.ktor.server.routing.Route
import io.ktor.server.routing.get

/** Adds `/metrics`, `/healthz` and `/readyz`; the last returns 503 while [isReady] is false. */
public fun Route.operationRoutes(metrics: Metrics, isReady: () -> Boolean) {
    get("/metrics") { call.respondText(metrics.text(), ContentType.parse(Metrics.CONTENT_TYPE)) }
    get("/healthz") { call.respondText("ok\n") }
    get("/readyz") {
        if (isReady()) {
            call.respondText("ready\n")
        } else {
            call.respondText("not ready\n", status = HttpStatusCode.ServiceUnavailable)
        }
    }
}
