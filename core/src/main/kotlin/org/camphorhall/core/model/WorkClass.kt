package org.camphorhall.core.model

import kotlinx.serialization.Serializable

/** A class of work with its target. */
@Serializable
public data class WorkClass(
    val name: ClassName,
    val target: Target,
    /** Whether a request of this class may safely run more than once. */
    val idempotent: Boolean = true,
)
