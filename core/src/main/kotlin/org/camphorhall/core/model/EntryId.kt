package org.camphorhall.core.model

import kotlinx.serialization.Serializable

/** Identifies one entry process; a restarted entry has a new id. */
@JvmInline
@Serializable
public value class EntryId(public val value: String) {
    override fun toString(): String = value
}
