package org.camphorhall.core.account

import kotlinx.serialization.Serializable
import org.camphorhall.core.model.ClassName

/** Labels of a counter: the class, the outcome (for example `evicted`) and the reason code, empty when none. */
@Serializable
public data class CountKey(
    val className: ClassName,
    val outcome: String,
    val reason: String = "",
)
