package org.camphorhall.core.agent

import org.camphorhall.core.model.ClassName
import org.camphorhall.core.model.MonotonicInstant
import org.camphorhall.core.model.RequestId
import org.camphorhall.core.model.TenantName

/** A latency-critical request at the agent, without its body, which the agent process keeps. */
public data class Request(
    val id: RequestId,
    val className: ClassName,
    val tenant: TenantName,
    /** Deadline on the clock of the agent. */
    val deadline: MonotonicInstant,
    val idempotent: Boolean,
)
