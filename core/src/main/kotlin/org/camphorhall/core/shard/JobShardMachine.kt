package org.camphorhall.core.shard

import org.camphorhall.core.config.Configuration
import org.camphorhall.core.model.Moment
import org.camphorhall.core.model.Transition
import org.camphorhall.core.policy.Placement
import org.camphorhall.core.policy.placeByFreeCapacity
import org.camphorhall.core.routing.WorkerView

/** Decision code of the owner of a shard of jobs. It is pure. */
public interface JobShardMachine {
    /** Handles [event] at [now], with what the entry knows of the workers and of the configuration. */
    public fun step(
        state: JobShardState,
        event: JobShardEvent,
        now: Moment,
        view: WorkerView,
        config: Configuration,
    ): Transition<JobShardState, JobShardAction>
}

/** Creates the decision code of a shard of jobs. */
public fun JobShardMachine(
    settings: ShardSettings = ShardSettings(),
    placement: Placement = ::placeByFreeCapacity,
): JobShardMachine = RealJobShardMachine(settings, placement)
