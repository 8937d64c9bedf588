package org.camphorhall.core.model

/** Result of one step of a state machine: the next [state] and the [actions] to carry out, in order. */
public data class Transition<out S, out A>(val state: S, val actions: List<A>)
