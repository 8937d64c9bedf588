package org.camphorhall.core.agent

import org.camphorhall.core.model.MonotonicInstant

/** Record of a request id, kept until [until] to detect duplicates. */
public data class RecentRequest(
    val until: MonotonicInstant,
    /** Whether the request is guaranteed not to have run and never to run. */
    val notRun: Boolean,
)
