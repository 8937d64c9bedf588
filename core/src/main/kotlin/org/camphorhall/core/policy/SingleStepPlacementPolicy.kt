package org.camphorhall.core.policy

import org.camphorhall.core.model.MonotonicInstant
import org.camphorhall.core.routing.WorkerInfo
import org.camphorhall.core.routing.WorkerSnapshot

/** Chooses a worker for a task, or null when none has enough free capacity. */
public typealias SingleStepPlacementPolicy = (
    snapshot: WorkerSnapshot,
    request: PlacementRequest,
    now: MonotonicInstant,
) -> WorkerInfo?
