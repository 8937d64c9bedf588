package org.camphorhall.core.model

import kotlinx.serialization.Serializable

/** Name of a class of work. */
@JvmInline
@Serializable
public value class ClassName(public val value: String) {
    override fun toString(): String = value
}
