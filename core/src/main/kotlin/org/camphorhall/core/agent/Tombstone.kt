package org.camphorhall.core.agent

import org.camphorhall.core.model.AttemptId
import org.camphorhall.core.model.MonotonicInstant

/** An acknowledged attempt. Until [until], a start of it or of an earlier attempt is a delayed message. */
public data class Tombstone(val id: AttemptId, val until: MonotonicInstant)
