package org.camphorhall.core.shard

import org.camphorhall.core.model.MonotonicInstant

/** Time of the last start or stop sent for a task, and the incarnation of the agent that it was sent to. */
public data class SentCommand(val sentAt: MonotonicInstant, val incarnation: Long)
