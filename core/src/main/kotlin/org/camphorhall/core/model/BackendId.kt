package org.camphorhall.core.model

import kotlinx.serialization.Serializable

/** Identifies a backend server within its worker. */
@JvmInline
@Serializable
public value class BackendId(public val value: String) {
    override fun toString(): String = value
}
