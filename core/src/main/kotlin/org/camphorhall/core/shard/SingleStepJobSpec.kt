package org.camphorhall.core.shard

import kotlinx.serialization.Serializable
import org.camphorhall.core.model.ClassName
import org.camphorhall.core.model.Resources
import org.camphorhall.core.model.TenantName

/** Specification of a job as submitted by a caller. */
@Serializable
public data class SingleStepJobSpec(
    val className: ClassName,
    val tenant: TenantName,
    /** Declared resources of each task. */
    val resources: Resources,
    /** Declared run time of each task; 0 when not declared. */
    val expectedMillis: Long = 0,
    val payload: String = "",
    /** Number of identical tasks. */
    val tasks: Int = 1,
)
