package org.camphorhall.cli

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonElement

/** Status of one task in a [JobView]. */
@Serializable
internal data class TaskView(
    val index: Int,
    val state: String,
    val attempt: Long = 0,
    val worker: String? = null,
    val progressMillis: Long = 0,
    val evictions: Int = 0,
    val result: JsonElement? = null,
    val reason: String? = null,
)
