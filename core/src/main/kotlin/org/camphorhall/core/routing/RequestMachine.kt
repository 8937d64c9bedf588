package org.camphorhall.core.routing

import org.camphorhall.core.model.MonotonicInstant
import org.camphorhall.core.model.Transition

/** State machine of one request at an entry, from its arrival to the response to the caller. It is pure. */
public interface RequestMachine {
    /** Handles [event] at [now] on the clock of the entry. */
    public fun step(
        state: RequestState,
        event: RequestEvent,
        now: MonotonicInstant,
        context: RequestContext,
    ): Transition<RequestState, RequestAction>
}

/** Creates the state machine of requests. */
public fun RequestMachine(): RequestMachine = RealRequestMachine()
