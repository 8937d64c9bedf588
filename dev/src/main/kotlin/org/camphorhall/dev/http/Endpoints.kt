package org.camphorhall.dev.http

import io.ktor.http.ContentType
import io.ktor.http.HttpMethod
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.receive
import io.ktor.server.response.header
import io.ktor.server.response.respondBytes
import io.ktor.server.routing.Routing
import io.ktor.server.routing.route
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.serialization.SerializationException

/** Defines endpoints whose paths start with [prefix] and which are subject to [faults]. */
internal class Endpoints(
    private val routing: Routing,
    private val faults: FaultInjector,
    private val prefix: String = "",
) {
    init {
        debugEndpoint(HttpMethod.Get, "/faults") { BufferedResponse.json(faults.active) }
        debugEndpoint(HttpMethod.Put, "/faults") { call ->
            faults.set(BufferedResponse.format.decodeFromString(call.bodyText()))
            BufferedResponse.json(faults.active)
        }
        debugEndpoint(HttpMethod.Get, "/healthz") { BufferedResponse() }
    }

    /** Returns the endpoints of another service on the same server, with its own [prefix] and [faults]. */
    fun withPrefix(prefix: String, faults: FaultInjector): Endpoints = Endpoints(routing, faults, prefix)

    /** Defines an endpoint that is subject to the faults. */
    fun endpoint(method: HttpMethod, path: String, handle: suspend (ApplicationCall) -> BufferedResponse) =
        debugEndpoint(method, path) { call ->
            faults.apply(isMutating = method != HttpMethod.Get) { handle(call) }
        }

    /** Defines an endpoint that stops a task and is subject to the faults, among them those of stops. */
    fun stopEndpoint(path: String, handle: suspend (ApplicationCall) -> BufferedResponse) =
        debugEndpoint(HttpMethod.Post, path) { call ->
            faults.apply(isMutating = true, isStop = true) { handle(call) }
        }

    /** Defines an endpoint for the test harness, to which faults do not apply. */
    fun debugEndpoint(method: HttpMethod, path: String, handle: suspend (ApplicationCall) -> BufferedResponse) {
        routing.route(prefix + path, method) {
            handle {
                val response = respond { handle(call) }
                response.headers.forEach { (name, value) -> call.response.header(name, value) }
                val status = HttpStatusCode.fromValue(response.status)
                call.respondBytes(response.body, ContentType.Application.Json, status)
            }
        }
    }

    private suspend fun respond(handle: suspend () -> BufferedResponse): BufferedResponse = try {
        handle()
    } catch (e: SerializationException) {
        BufferedResponse.error(400, e.message.orEmpty())
    } catch (e: IllegalArgumentException) {
        BufferedResponse.error(400, e.message.orEmpty())
    } catch (e: Exception) {
        currentCoroutineContext().ensureActive()
        System.err.println("request handler failed; responding with status 500: $e")
        BufferedResponse.error(500, e.toString())
    }
}

internal suspend fun ApplicationCall.bodyText(): String = receive<ByteArray>().decodeToString()

/** Returns a required path or query parameter. Throws [IllegalArgumentException] if it is missing. */
internal fun ApplicationCall.param(name: String): String = requireNotNull(parameters[name]) { "$name is missing" }

/** Returns a required integer path or query parameter. Throws [IllegalArgumentException] if it is not one. */
internal fun ApplicationCall.longParam(name: String): Long =
    requireNotNull(param(name).toLongOrNull()) { "$name is not a whole number" }
