package org.camphorhall.entry.http

import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.header
import io.ktor.server.routing.Route
import io.ktor.server.routing.delete
import io.ktor.server.routing.get
import io.ktor.server.routing.put
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonNull
import org.camphorhall.core.config.ConfigItem
import org.camphorhall.core.model.Target
import org.camphorhall.core.model.TenantQuota
import org.camphorhall.core.model.WorkClass
import org.camphorhall.entry.EntryComponents
import org.camphorhall.entry.store.ConfigWriter
import org.camphorhall.process.Problem
import org.camphorhall.process.respondProblem

/** The configuration as operators see it. */
@Serializable
internal data class ConfigView(val version: Long, val items: List<ConfigItem>)

/** Configuration version after a change. */
@Serializable
internal data class ConfigVersion(val version: Long)

/** Routes on which operators read and change the configuration. */
internal fun Route.configRoutes(components: EntryComponents) {
    get("/v1/config") {
        if (!components.watch.hasConfig) {
            val title = "The entry has not read the configuration yet."
            call.respondProblem(Problem(HttpStatusCode.ServiceUnavailable.value, title, reason = "store-unavailable"))
            return@get
        }
        val c = components.watch.state.config
        val items = c.items.values.filter { it !is ConfigItem.Removed }.sortedBy { it.key }
        call.respondJson(bodyJson.encodeToString(ConfigView.serializer(), ConfigView(c.version, items)))
    }
    put("/v1/config/classes/{name}") {
        val c = call.receiveJson(WorkClass.serializer(), MAX_ITEM_BYTES) ?: return@put
        val millis = when (val t = c.target) {
            is Target.AnswerWithin -> t.millis
            is Target.FinishBy -> t.millis
        }
        when {
            c.name.value != call.parameters["name"] ->
                call.respondBadRequest("name in the body must be the class name in the path")
            !c.name.value.matches(CLASS_NAME_PATTERN) ->
                call.respondBadRequest("name must have 1 to 64 letters, digits, . _ or -")
            millis !in 1..MAX_TARGET_MILLIS -> call.respondBadRequest("target must be from 1 ms to 30 days")
            else -> call.change(components, ConfigItem.OfClass(c, 0))
        }
    }
    put("/v1/config/quotas/{tenant}") {
        val q = call.receiveJson(TenantQuota.serializer(), MAX_ITEM_BYTES) ?: return@put
        when {
            q.tenant.value != call.parameters["tenant"] ->
                call.respondBadRequest("tenant in the body must be the tenant in the path")
            !q.batch.isValid() || q.requestsInFlight < 0 ->
                call.respondBadRequest("batch and requestsInFlight must not be negative")
            else -> call.change(components, ConfigItem.OfQuota(q, 0))
        }
    }
    delete("/v1/config/classes/{name}") {
        call.change(components, ConfigItem.Removed(ConfigItem.classKey(call.parameters["name"].orEmpty()), 0))
    }
    delete("/v1/config/quotas/{tenant}") {
        call.change(components, ConfigItem.Removed(ConfigItem.quotaKey(call.parameters["tenant"].orEmpty()), 0))
    }
}

private suspend fun ApplicationCall.change(components: EntryComponents, item: ConfigItem) {
    val header = request.header("If-Match")
    val ifMatch = header?.trim('"')?.toLongOrNull()
    if (header != null && ifMatch == null) {
        return respondBadRequest("If-Match must be an item version, or 0 for an absent item")
    }
    components.configWriter.change(item, ifMatch).fold({ respondFailure(it) }) { c ->
        components.watch.applyConfig(c.updateSince(0))
        respondJson(bodyJson.encodeToString(ConfigVersion.serializer(), ConfigVersion(c.version)))
    }
}

private suspend fun ApplicationCall.respondFailure(f: ConfigWriter.Failure) {
    val problem = when (f) {
        is ConfigWriter.Failure.Conflict -> Problem(
            status = HttpStatusCode.PreconditionFailed.value,
            title = "Another operator changed the item.",
            outcome = "not-run",
            reason = "conflict",
            extra = mapOf(
                "current" to (f.current?.let { bodyJson.encodeToJsonElement(ConfigItem.serializer(), it) } ?: JsonNull),
            ),
        )
        ConfigWriter.Failure.Unavailable -> Problem(
            status = HttpStatusCode.ServiceUnavailable.value,
            title = "The key-value service is unavailable; nothing was changed.",
            outcome = "not-run",
            reason = "store-unavailable",
        )
        ConfigWriter.Failure.InDoubt -> Problem(
            status = HttpStatusCode.GatewayTimeout.value,
            title = "The response of the key-value service was lost; read the configuration before trying again.",
            outcome = "unknown",
            reason = "store-unavailable",
        )
    }
    respondProblem(problem)
}

private val CLASS_NAME_PATTERN = Regex("[A-Za-z0-9._-]{1,64}")
private const val MAX_ITEM_BYTES = 65_536L
private const val MAX_TARGET_MILLIS = 30L * 24 * 3_600_000
