package org.camphorhall.agent

import kotlinx.serialization.Serializable
import org.camphorhall.core.model.Resources

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
)
