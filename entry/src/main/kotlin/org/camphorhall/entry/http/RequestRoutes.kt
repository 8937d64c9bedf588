package org.camphorhall.entry.http

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.header
import io.ktor.server.response.header
import io.ktor.server.response.respondBytes
import io.ktor.server.routing.Route
import io.ktor.server.routing.post
import org.camphorhall.core.model.ClassName
import org.camphorhall.core.model.Reason
import org.camphorhall.core.model.RequestId
import org.camphorhall.core.model.RequestOutcome
import org.camphorhall.core.model.Target
import org.camphorhall.core.model.TenantName
import org.camphorhall.core.model.WorkClass
import org.camphorhall.entry.EntryComponents
import org.camphorhall.entry.request.CallerRequest
import org.camphorhall.entry.request.CallerResponse
import org.camphorhall.process.Problem
import org.camphorhall.process.respondProblem
import org.camphorhall.wire.reasonCode
import java.util.UUID
import kotlin.time.Duration.Companion.milliseconds

private const val REQUEST_ID = "X-Request-Id"

/** Routes of latency-critical requests. */
internal fun Route.requestRoutes(components: EntryComponents) {
    post("/v1/classes/{class}/requests") {
        val name = ClassName(call.parameters["class"].orEmpty())
        val config = components.watch.state.config
        val workClass = config.workClass(name)
        val id = call.request.header(REQUEST_ID) ?: UUID.randomUUID().toString()
        call.response.header(REQUEST_ID, id)
        if (workClass == null && !components.watch.hasConfig) {
            return@post call.reject(components, name, Reason.StoreUnavailable)
        }
        if (workClass == null) return@post call.reject(components, name, Reason.UnknownClass)
        if (components.stopping) return@post call.reject(components, name, Reason.Draining)
        val request = call.callerRequest(components, workClass, id) ?: return@post
        val limit = config.quota(request.tenant)?.requestsInFlight ?: components.options.limits.maxInFlightPerTenant
        val rejection = components.limits.acquire(request.tenant, limit)
        if (rejection != null) return@post call.reject(components, name, rejection)
        try {
            call.serve(components, request)
        } finally {
            components.limits.release(request.tenant)
        }
    }
}

private suspend fun ApplicationCall.serve(components: EntryComponents, request: CallerRequest) {
    val start = components.clocks.mono()
    val callerResponse = components.requests.handle(request)
    val elapsed = components.clocks.mono() - start
    // Callers choose tenant names, so only tenants with a quota become label values, which bounds their number.
    val hasQuota = components.watch.state.config.quota(request.tenant) != null
    val label = if (hasQuota) request.tenant.value else "(no quota)"
    components.metrics.recordResponse(request.className.value, label, callerResponse, elapsed)
    if (callerResponse.record == null) {
        components.accounting.add(request.className, callerResponse.outcome.code, callerResponse.outcome.reasonCode)
    } else {
        components.accounting.add(request.className, "replayed", "")
    }
    respondOutcome(callerResponse)
}

private suspend fun ApplicationCall.respondOutcome(callerResponse: CallerResponse) {
    val outcome = callerResponse.outcome
    val record = callerResponse.record
    response.header("X-Tries", callerResponse.tries.toString())
    if (outcome is RequestOutcome.NotRun && outcome.retryAfter.isPositive()) {
        response.header("Retry-After", ((outcome.retryAfter.inWholeMilliseconds + 999) / 1_000).toString())
    }
    when {
        outcome != RequestOutcome.Completed -> respondProblem(problemOf(outcome))
        record == null -> respondBytes(callerResponse.body, ContentType.Application.Json)
        record.body != null -> {
            response.header("X-Replayed", "true")
            respondBytes(record.body!!.encodeToByteArray(), ContentType.Application.Json)
        }
        else -> respondProblem(
            Problem(
                status = HttpStatusCode.Conflict.value,
                title = "The request with this key completed earlier; its response was too long to store.",
                outcome = outcome.code,
                reason = "answer-not-kept",
            ),
        )
    }
}

private suspend fun ApplicationCall.reject(components: EntryComponents, name: ClassName, reason: Reason) {
    // Callers can invent class names, so the name of an unknown class must not become a label value.
    val isKnown = components.watch.state.config.workClass(name) != null
    components.metrics.recordRejection(if (isKnown) name.value else "(unknown)", reason.code)
    if (isKnown) components.accounting.add(name, "not-run", reason.code)
    if (reason == Reason.EntryOverloaded || reason == Reason.QuotaExceeded) response.header("Retry-After", "1")
    respondProblem(problemOf(RequestOutcome.NotRun(reason)))
}

/** Reads the request. If it is invalid, responds with 400, 408 or 413 and returns null. */
private suspend fun ApplicationCall.callerRequest(
    components: EntryComponents,
    workClass: WorkClass,
    id: String,
): CallerRequest? {
    val limits = components.options.limits
    val target = workClass.target as? Target.AnswerWithin
    val tenant = request.header("X-Tenant") ?: DEFAULT_TENANT
    val key = request.header("Idempotency-Key")
    val timeoutHeader = request.header("X-Timeout-Ms")
    val timeout = if (timeoutHeader == null) target?.millis else timeoutHeader.toLongOrNull()
    val problem = when {
        target == null -> "class ${workClass.name} has a finish-by target; submit a job instead"
        request.headers.entries().sumOf { it.key.length + it.value.sumOf(String::length) } > MAX_HEADER_CHARS ->
            "the headers are longer than $MAX_HEADER_CHARS characters"
        id.length > MAX_NAME_CHARS -> "$REQUEST_ID is longer than $MAX_NAME_CHARS characters"
        tenant.length > MAX_NAME_CHARS || tenant.isBlank() -> "X-Tenant must have 1 to $MAX_NAME_CHARS characters"
        key != null && (key.isBlank() || key.length > MAX_NAME_CHARS) ->
            "Idempotency-Key must have 1 to $MAX_NAME_CHARS characters"
        key == null && !workClass.idempotent -> "class ${workClass.name} is not idempotent; Idempotency-Key is required"
        timeout == null || timeout !in 1..limits.maxTimeoutMillis ->
            "X-Timeout-Ms must be a number from 1 to ${limits.maxTimeoutMillis}"
        else -> null
    }
    if (problem != null) {
        respondBadRequest(problem)
        return null
    }
    val body = receiveLimitedBody(limits.maxBodyBytes) ?: return null
    return CallerRequest(
        RequestId(id),
        workClass.name,
        TenantName(tenant),
        workClass.idempotent,
        key?.let { "$tenant/${workClass.name}/$it" },
        timeout!!.milliseconds,
        body,
        components.watch.state.config.version,
    )
}

private const val DEFAULT_TENANT = "default"
private const val MAX_NAME_CHARS = 200
private const val MAX_HEADER_CHARS = 16_384
