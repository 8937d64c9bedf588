package org.camphorhall.core.agent

import org.camphorhall.core.model.ClassName
import org.camphorhall.core.model.Resources
import org.camphorhall.core.model.TenantName

/** Input of an attempt. Class and tenant are null for an attempt that was read from the runtime's inventory. */
public data class TaskSpec(
    val className: ClassName?,
    val tenant: TenantName?,
    val resources: Resources,
    val payload: String = "",
    val checkpoint: String? = null,
    val expectedMillis: Long = 0,
    /** Milliseconds until the finish-by target when the owner sent the start; null when unknown. */
    val finishByRemainingMillis: Long? = null,
)
