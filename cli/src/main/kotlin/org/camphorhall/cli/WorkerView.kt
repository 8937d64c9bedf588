package org.camphorhall.cli

import kotlinx.serialization.Serializable
import org.camphorhall.core.model.Resources

/** State of a worker in the response of `GET /v1/workers`. */
@Serializable
internal data class WorkerView(
    val id: String,
    val failureDomain: String = "",
    val rack: String = "",
    val draining: Boolean = false,
    val ageMillis: Long = 0,
    val capacity: Resources = Resources.None,
    val used: Resources = Resources.None,
    val classes: List<WorkerClassView> = emptyList(),
)
