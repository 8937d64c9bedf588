package org.camphorhall.process

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.response.respondText
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put

/** Problem details of an error response (RFC 9457). [outcome] and [reason] are codes of the core model, if any. */
public data class Problem(
    val status: Int,
    val title: String,
    val detail: String? = null,
    val outcome: String? = null,
    val reason: String? = null,
    val type: String = "about:blank",
    /** Extension members. They cannot replace the standard ones. */
    val extra: Map<String, JsonElement> = emptyMap(),
) {
    /** Returns the response body; null members are omitted. */
    public fun toJson(): JsonObject = buildJsonObject {
        extra.forEach { (k, v) -> put(k, v) }
        put("type", type)
        put("title", title)
        put("status", status)
        detail?.let { put("detail", it) }
        outcome?.let { put("outcome", it) }
        reason?.let { put("reason", it) }
    }
}

/** Responds with [problem] as `application/problem+json` and its status. */
public suspend fun ApplicationCall.respondProblem(problem: Problem): Unit = respondText(
    problem.toJson().toString(),
    ContentType.Application.ProblemJson,
    HttpStatusCode.fromValue(problem.status),
)
