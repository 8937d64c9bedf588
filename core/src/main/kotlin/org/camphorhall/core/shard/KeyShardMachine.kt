package org.camphorhall.core.shard

import org.camphorhall.core.model.ClockReading
import org.camphorhall.core.model.Transition

/** State machine of the owner of a shard of idempotency keys. It has no side effects. */
public interface KeyShardMachine {
    /** Handles [event] at [now]. */
    public fun step(
        state: KeyShardState,
        event: KeyShardEvent,
        now: ClockReading,
    ): Transition<KeyShardState, KeyShardAction>
}

/** Creates the state machine of an owner of a shard of idempotency keys. */
public fun KeyShardMachine(settings: ShardSettings = ShardSettings()): KeyShardMachine = RealKeyShardMachine(settings)
