package org.camphorhall.core.agent

import org.camphorhall.core.model.MonotonicInstant

/** What the agent remembers of a request id until [until]. */
public data class RecentRequest(
    val until: MonotonicInstant,
    /** Whether the request surely did not run and never will. */
    val notRun: Boolean,
)
