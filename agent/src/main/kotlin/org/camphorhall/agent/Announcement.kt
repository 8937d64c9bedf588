package org.camphorhall.agent

import kotlinx.serialization.Serializable
import org.camphorhall.core.model.Resources
import java.net.URI
import java.net.URISyntaxException

/** Registration that a backend server sends and repeats before [ttlMillis] expires. */
@Serializable
internal data class Announcement(
    val classes: List<String>,
    val url: String,
    val slots: Int,
    val connections: Int = slots,
    val perRequest: Resources = Resources.None,
    val ttlMillis: Long = 5_000,
    /** Requests that run at the backend server; a restarted agent counts those of its predecessor. */
    val running: Int = 0,
    /** Whether the backend server accepts no new requests. */
    val leaving: Boolean = false,
) {
    /** Why the agent cannot use the backend server; null if it can. */
    fun problem(): String? = when {
        classes.isEmpty() -> "classes is empty"
        !isHttpUrl(url) -> "url is no HTTP address"
        slots < 1 || connections < 1 -> "slots and connections must be at least 1"
        running < 0 -> "running is negative"
        !perRequest.isValid() -> "perRequest has a negative part"
        ttlMillis !in MIN_TTL..MAX_TTL -> "ttlMillis must be $MIN_TTL to $MAX_TTL"
        else -> null
    }
}

/** A call to any other URL throws and never ends the request that it was made for. */
private fun isHttpUrl(url: String): Boolean {
    val uri = try {
        URI(url)
    } catch (_: URISyntaxException) {
        return false
    }
    return uri.scheme == "http" && uri.host != null && (uri.port == -1 || uri.port in 1..MAX_PORT)
}

private const val MAX_PORT = 65_535
private const val MIN_TTL = 500L
private const val MAX_TTL = 60_000L
