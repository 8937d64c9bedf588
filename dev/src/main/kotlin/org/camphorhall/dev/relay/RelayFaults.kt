package org.camphorhall.dev.relay

import kotlinx.serialization.Serializable

/** Faults of a relay, set by `PUT /faults`. */
@Serializable
internal data class RelayFaults(
    /** Connections that are open now stay open but never forward data again. New connections work. */
    val silent: Boolean = false,
    /** Connections that are open now are closed. New connections work. */
    val cut: Boolean = false,
    /** No connection, open or new, forwards data until this is false again. */
    val partition: Boolean = false,
)
