package org.camphorhall.entry.http

import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.contentLength
import io.ktor.server.request.receiveChannel
import io.ktor.utils.io.readRemaining
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.io.readByteArray
import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.camphorhall.process.Problem
import org.camphorhall.process.respondProblem
import kotlin.time.Duration.Companion.seconds

/** JSON format of the HTTP API. Unknown fields of a request body are errors. */
internal val bodyJson: Json = Json { encodeDefaults = true }

/** Reads the body. Responds with 413 if it has more than [max] bytes, or 408 after 10 s, and returns null. */
internal suspend fun ApplicationCall.receiveLimitedBody(max: Long): ByteArray? {
    val declared = request.contentLength()
    if (declared != null && declared > max) return respondTooLarge(max)
    val bytes = withTimeoutOrNull(BODY_TIMEOUT) { receiveChannel().readRemaining(max + 1).readByteArray() }
    if (bytes == null) {
        respondProblem(notRun(HttpStatusCode.RequestTimeout, "The body was not received within $BODY_TIMEOUT."))
        return null
    }
    return if (bytes.size > max) respondTooLarge(max) else bytes
}

private suspend fun ApplicationCall.respondTooLarge(max: Long): ByteArray? {
    respondProblem(notRun(HttpStatusCode.PayloadTooLarge, "The body is longer than $max bytes."))
    return null
}

/** Reads a JSON body. Responds with 400, 408 or 413 if it is invalid, and returns null. */
internal suspend fun <T> ApplicationCall.receiveJson(of: DeserializationStrategy<T>, max: Long): T? {
    val bytes = receiveLimitedBody(max) ?: return null
    return try {
        bodyJson.decodeFromString(of, bytes.decodeToString())
    } catch (e: SerializationException) {
        respondBadRequest(e.message?.lineSequence()?.first().orEmpty())
        null
    } catch (e: IllegalArgumentException) {
        respondBadRequest(e.message.orEmpty())
        null
    }
}

/** Responds with 400 and [detail]. */
internal suspend fun ApplicationCall.respondBadRequest(detail: String): Unit =
    respondProblem(notRun(HttpStatusCode.BadRequest, detail))

private fun notRun(status: HttpStatusCode, detail: String) =
    Problem(status = status.value, title = status.description, detail = detail, outcome = "not-run")

/** Maximum time for receiving a body. */
private val BODY_TIMEOUT = 10.seconds
