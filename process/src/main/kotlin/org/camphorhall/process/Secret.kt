package org.camphorhall.process

import kotlinx.serialization.Serializable

/** A settings value that must not appear in logs or error reports. Only [reveal] returns it. */
@Serializable
@JvmInline
public value class Secret(private val value: String) {
    public fun reveal(): String = value

    override fun toString(): String = HIDDEN

    internal companion object {
        const val HIDDEN = "(hidden)"
    }
}
