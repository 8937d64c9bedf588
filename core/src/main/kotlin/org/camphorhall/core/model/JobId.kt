package org.camphorhall.core.model

import kotlinx.serialization.Serializable

/** Identifies a batch job. */
@JvmInline
@Serializable
public value class JobId(public val value: String) {
    override fun toString(): String = value
}
