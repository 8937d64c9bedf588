package org.camphorhall.core.model

import kotlinx.serialization.Serializable

/** Identifies a request, to match its response. */
@JvmInline
@Serializable
public value class RequestId(public val value: String) {
    override fun toString(): String = value
}
