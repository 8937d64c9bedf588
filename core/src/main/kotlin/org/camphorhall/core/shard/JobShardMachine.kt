package org.camphorhall.core.shard

import org.camphorhall.core.config.Configuration
import org.camphorhall.core.model.ClockReading
import org.camphorhall.core.model.Transition
import org.camphorhall.core.policy.SingleStepPlacementPolicy
import org.camphorhall.core.policy.placeByFreeCapacity
import org.camphorhall.core.routing.WorkerSnapshot

/** State machine of the owner of a job shard. It has no side effects. */
public interface JobShardMachine {
    /** Handles [event] at [now]; [view] and [config] are the current worker snapshot and configuration of the entry. */
    public fun step(
        state: JobShardState,
        event: JobShardEvent,
        now: ClockReading,
        view: WorkerSnapshot,
        config: Configuration,
    ): Transition<JobShardState, JobShardAction>
}

/** Creates the state machine of a job shard owner. */
public fun JobShardMachine(
    settings: ShardSettings = ShardSettings(),
    placement: SingleStepPlacementPolicy = ::placeByFreeCapacity,
): JobShardMachine = RealJobShardMachine(settings, placement)
