package org.camphorhall.e2e

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.plugins.HttpTimeout
import io.ktor.client.request.header
import io.ktor.client.request.request
import io.ktor.client.request.setBody
import io.ktor.client.statement.bodyAsText
import io.ktor.http.HttpMethod
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import java.io.IOException

/** An HTTP response; status 0 means that the connection failed or was closed before the response was complete. */
internal class HttpResponse(val status: Int, val text: String, val headers: Map<String, String>) {
    val json: JsonObject by lazy { Json.parseToJsonElement(text).jsonObject }
    val outcome: String? get() = if (status == 200) "completed" else field("outcome")
    val reason: String? get() = field("reason")

    private fun field(name: String) = if (text.startsWith("{")) json[name]?.jsonPrimitive?.content else null
}

/** HTTP client of the tests. [call] blocks the calling thread, [send] suspends. */
internal object Http {
    private val client = HttpClient(CIO) {
        expectSuccess = false
        install(HttpTimeout) {
            requestTimeoutMillis = TIMEOUT_MILLIS
            connectTimeoutMillis = TIMEOUT_MILLIS
        }
        engine { endpoint.maxConnectionsPerRoute = MAX_CONNECTIONS }
    }

    suspend fun send(method: String, url: String, body: String? = null, headers: Map<String, String> = emptyMap()) =
        try {
            val response = client.request(url) {
                this.method = HttpMethod.parse(method)
                headers.forEach { (name, value) -> header(name, value) }
                body?.let { setBody(it) }
            }
            val responseHeaders = response.headers.entries().associate { it.key.lowercase() to it.value.first() }
            HttpResponse(response.status.value, response.bodyAsText(), responseHeaders)
        } catch (e: IOException) {
            HttpResponse(0, e.toString(), emptyMap())
        }

    fun call(method: String, url: String, body: String? = null, headers: Map<String, String> = emptyMap()) =
        runBlocking { send(method, url, body, headers) }

    private const val TIMEOUT_MILLIS = 20_000L
    private const val MAX_CONNECTIONS = 1_000
}

internal fun JsonObject.text(name: String): String = getValue(name).jsonPrimitive.content

internal fun JsonObject.number(name: String): Long = text(name).toLong()

internal fun JsonObject.list(name: String): List<JsonObject> = getValue(name).jsonArray.map(JsonElement::jsonObject)
