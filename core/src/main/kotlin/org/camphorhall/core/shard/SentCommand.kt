package org.camphorhall.core.shard

import org.camphorhall.core.model.MonotonicInstant

/** When a start was last sent, and to which incarnation of the agent. */
public data class SentCommand(val sentAt: MonotonicInstant, val incarnation: Long)
