package org.camphorhall.core.policy

import org.camphorhall.core.model.ClassName
import org.camphorhall.core.model.Resources
import org.camphorhall.core.model.WorkerId

/** Requirements on the placement of a task. */
public data class PlacementRequest(
    val className: ClassName,
    val need: Resources,
    /** Workers that are used only when the task fits no other. */
    val avoid: List<WorkerId> = emptyList(),
    /** Seed for the sampling of workers. */
    val seed: Long,
)
