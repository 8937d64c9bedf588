package org.camphorhall.cli

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Response of `GET /v1/report`: counts per class, and the sources whose counts are missing. */
@Serializable
internal data class ReportView(
    val classes: List<ClassCounts> = emptyList(),
    val unknown: List<MissingCounts> = emptyList(),
) {
    /** Counts of one class. */
    @Serializable
    data class ClassCounts(@SerialName("class") val name: String, val counts: List<OutcomeCount> = emptyList())

    /** Count for one outcome and reason. */
    @Serializable
    data class OutcomeCount(val outcome: String, val reason: String? = null, val count: Long)

    /** A source whose counts were lost or cannot be read. */
    @Serializable
    data class MissingCounts(val source: String, val sinceMillis: Long? = null, val detail: String? = null)
}
