package org.camphorhall.dev.http

import kotlinx.serialization.json.Json

/** HTTP response that is built completely before it is sent, so that a fault can drop it. */
internal class BufferedResponse(
    val status: Int = 200,
    val body: ByteArray = ByteArray(0),
    val headers: Map<String, String> = emptyMap(),
) {
    companion object {
        val format: Json = Json {
            ignoreUnknownKeys = true
            encodeDefaults = true
        }

        inline fun <reified T> json(value: T): BufferedResponse =
            BufferedResponse(body = format.encodeToString(value).encodeToByteArray())

        /** Returns an error response whose JSON body has the field `detail`. */
        fun error(status: Int, detail: String, headers: Map<String, String> = emptyMap()): BufferedResponse =
            BufferedResponse(status, "{\"detail\":${format.encodeToString(detail)}}".encodeToByteArray(), headers)
    }
}
