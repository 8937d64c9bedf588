package org.camphorhall.core.account

import kotlinx.serialization.Serializable

/** One counter of a report. */
@Serializable
public data class CountEntry(val key: CountKey, val count: Long)
