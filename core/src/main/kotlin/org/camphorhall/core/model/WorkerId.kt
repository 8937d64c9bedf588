package org.camphorhall.core.model

import kotlinx.serialization.Serializable

/** Identifies a worker by the id that the platform assigned to its instance. */
@JvmInline
@Serializable
public value class WorkerId(public val value: String) {
    override fun toString(): String = value
}
