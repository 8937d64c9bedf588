package org.camphorhall.core.jobs

import kotlinx.serialization.Serializable

/** An attempt whose start an agent has sent to its worker. */
@Serializable
public data class StartedAttempt(val task: TaskRef, val attempt: Int)
