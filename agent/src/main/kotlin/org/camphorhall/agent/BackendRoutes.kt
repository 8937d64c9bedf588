package org.camphorhall.agent

import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.receiveText
import io.ktor.server.response.respond
import io.ktor.server.routing.Route
import io.ktor.server.routing.delete
import io.ktor.server.routing.put
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.camphorhall.core.agent.AgentEvent
import org.camphorhall.core.agent.Backend
import org.camphorhall.core.model.BackendId
import org.camphorhall.core.model.ClassName
import org.camphorhall.core.model.MonotonicInstant
import org.camphorhall.process.Problem
import org.camphorhall.process.respondProblem
import kotlin.time.Duration.Companion.milliseconds

/** HTTP routes on which backend servers register, refresh their registration and deregister. */
internal fun Route.backendRoutes(clock: () -> MonotonicInstant, send: (AgentEvent) -> Unit) {
    put("/v1/backends/{id}") {
        val id = BackendId(call.parameters["id"].orEmpty())
        val a = call.announcement() ?: return@put
        val backend = Backend(
            id = id,
            classes = a.classes.map(::ClassName).toSet(),
            url = a.url,
            // Each running request takes one connection, so the connections also limit the slots.
            slots = minOf(a.slots, a.connections),
            perRequest = a.perRequest,
            expiresAt = clock() + a.ttlMillis.milliseconds,
            leaving = a.leaving,
            running = a.running,
        )
        send(AgentEvent.BackendAnnounced(backend))
        call.respond(HttpStatusCode.OK, "")
    }
    delete("/v1/backends/{id}") {
        send(AgentEvent.BackendLeaving(BackendId(call.parameters["id"].orEmpty())))
        call.respond(HttpStatusCode.OK, "")
    }
}

private suspend fun ApplicationCall.announcement(): Announcement? {
    val a = try {
        Json.decodeFromString<Announcement>(receiveText())
    } catch (e: SerializationException) {
        respondProblem(Problem(HttpStatusCode.BadRequest.value, "invalid announcement", e.message))
        return null
    }
    val problem = a.problem() ?: return a
    respondProblem(Problem(HttpStatusCode.BadRequest.value, "invalid announcement", problem))
    return null
}
