package org.camphorhall.core.model

import kotlinx.serialization.Serializable

/** Name of a tenant. */
@JvmInline
@Serializable
public value class TenantName(public val value: String) {
    override fun toString(): String = value
}
