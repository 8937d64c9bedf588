package org.camphorhall.core.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Service objective of a class of work, the only scheduling parameter that operators set. */
@Serializable
public sealed interface Target {
    /** Requests are answered, or tasks started, within [millis]. */
    @Serializable
    @SerialName("answer-within")
    public data class AnswerWithin(val millis: Long) : Target

    /** Jobs finish within [millis] after their submission. */
    @Serializable
    @SerialName("finish-by")
    public data class FinishBy(val millis: Long) : Target
}
