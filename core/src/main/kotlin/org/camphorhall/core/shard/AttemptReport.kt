package org.camphorhall.core.shard

import org.camphorhall.core.agent.AttemptPhase
import org.camphorhall.core.model.AttemptId
import org.camphorhall.core.model.Reason

/** State of an attempt as reported by an agent. */
public data class AttemptReport(
    val id: AttemptId,
    val phase: AttemptPhase,
    val reason: Reason? = null,
    val checkpoint: String? = null,
    val progressMillis: Long = 0,
    val result: String? = null,
)
