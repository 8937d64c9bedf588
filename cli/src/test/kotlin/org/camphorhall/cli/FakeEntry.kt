package org.camphorhall.cli

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.cio.CIO
import io.ktor.server.engine.embeddedServer
import io.ktor.server.request.httpMethod
import io.ktor.server.request.receiveText
import io.ktor.server.request.uri
import io.ktor.server.response.header
import io.ktor.server.response.respondText
import io.ktor.server.routing.route
import io.ktor.server.routing.routing
import kotlinx.coroutines.runBlocking
import java.util.concurrent.CopyOnWriteArrayList

/** Simulated entry that records each call and returns the response that [respond] gives for it. */
internal class FakeEntry(private val respond: (Call) -> Response) : AutoCloseable {
    data class Call(val requestLine: String, val body: String, val headers: Map<String, String>)

    data class Response(val status: Int, val body: String = "")

    val calls = CopyOnWriteArrayList<Call>()

    private val server = embeddedServer(CIO, port = 0, host = "127.0.0.1") {
        routing {
            route("{...}") {
                handle {
                    val headers = call.request.headers.entries().associate { it.key to it.value.first() }
                    val c = Call("${call.request.httpMethod.value} ${call.request.uri}", call.receiveText(), headers)
                    calls += c
                    val r = respond(c)
                    call.response.header("X-Request-Id", "r-1")
                    call.respondText(r.body, ContentType.Application.Json, HttpStatusCode.fromValue(r.status))
                }
            }
        }
    }.start()

    val url: String = "http://127.0.0.1:" + runBlocking { server.engine.resolvedConnectors().first().port }

    override fun close(): Unit = server.stop(0, 0)
}
