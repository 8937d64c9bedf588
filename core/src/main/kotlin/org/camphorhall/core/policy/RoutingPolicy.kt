package org.camphorhall.core.policy

import org.camphorhall.core.model.MonotonicInstant
import org.camphorhall.core.routing.WorkerInfo
import org.camphorhall.core.routing.WorkerSnapshot

/** Chooses the worker for one try of a request, or null when no usable worker serves its class. */
public typealias RoutingPolicy = (
    snapshot: WorkerSnapshot,
    request: RoutingRequest,
    now: MonotonicInstant,
) -> WorkerInfo?
