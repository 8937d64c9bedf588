package org.camphorhall.core.agent

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import org.camphorhall.core.config.Configuration
import org.camphorhall.core.model.BackendId
import org.camphorhall.core.model.ClassName
import org.camphorhall.core.model.MonotonicInstant
import org.camphorhall.core.model.RequestId
import org.camphorhall.core.model.Resources
import org.camphorhall.core.model.Target
import org.camphorhall.core.model.TaskId
import org.camphorhall.core.policy.DemandEstimate
import org.camphorhall.core.policy.ServiceTimeEstimate
import kotlin.time.Duration.Companion.milliseconds

/** State of one agent, which alone decides what its worker queues and runs. */
public data class AgentState(
    /** Incarnation of this agent process: the monotonic time of its start. */
    val incarnation: Long,
    /** Capacity of the worker; null until the runtime has registered the agent. Nothing is admitted before that. */
    val capacity: Resources? = null,
    /** Time from which work is admitted. */
    val admissionStartsAt: MonotonicInstant = MonotonicInstant(Long.MIN_VALUE / 2),
    val draining: Boolean = false,
    val config: Configuration = Configuration(),
    val backends: PersistentMap<BackendId, Backend> = persistentMapOf(),
    /** Queued requests, ordered by the queue policy. */
    val queue: PersistentList<QueuedRequest> = persistentListOf(),
    val running: PersistentMap<RequestId, RunningRequest> = persistentMapOf(),
    val recentRequests: PersistentMap<RequestId, RecentRequest> = persistentMapOf(),
    val attempts: PersistentMap<TaskId, TrackedAttempt> = persistentMapOf(),
    val tombstones: PersistentMap<TaskId, Tombstone> = persistentMapOf(),
    /** Greatest epoch accepted for each shard. */
    val shardEpochs: PersistentMap<Int, Long> = persistentMapOf(),
    val estimates: PersistentMap<ClassName, ServiceTimeEstimate> = persistentMapOf(),
    /** Concurrent requests of each class, sampled at its arrivals. */
    val demand: PersistentMap<ClassName, DemandEstimate> = persistentMapOf(),
    val arrivals: Long = 0,
    /** Time of the last removal of expired records. */
    val lastCleanupAt: MonotonicInstant = MonotonicInstant(Long.MIN_VALUE / 2),
) {
    /** Resources of running requests and of active attempts. */
    public val used: Resources get() = requestsUsed + tasksUsed

    /** Resources of running requests, and of those that an earlier incarnation dispatched. */
    public val requestsUsed: Resources
        get() = running.values.fold(Resources.None) { sum, r -> sum + r.resources } +
            backends.values.fold(Resources.None) { sum, b -> sum + b.perRequest * b.orphans }

    /**
     * Resources of running requests, and the declared resources of active attempts. Processors that a throttled attempt
     * does not use count as committed, so that no other attempt is started on them in the meantime.
     */
    public val committed: Resources
        get() = attempts.values.filter { it.phase.active }.fold(requestsUsed) { sum, a -> sum + a.spec.resources }

    /** Resources of active attempts. */
    public val tasksUsed: Resources get() = attempts.values.fold(Resources.None) { sum, a -> sum + a.charged }

    /**
     * Returns the epoch of [shard] below which this worker rejects owners, also after a restart of the agent: the
     * lowest epoch that the runtime has recorded for the active attempts of the shard, or the accepted epoch if it has
     * none.
     */
    public fun fencedEpoch(shard: Int): Long {
        val accepted = shardEpochs[shard] ?: 0
        return attempts.values.filter { it.shard == shard && it.phase.active }.minOfOrNull { it.ownerEpoch } ?: accepted
    }

    /** Returns the time by which [request], which arrived at [arrivedAt], must be answered. */
    public fun dueTime(request: Request, arrivedAt: MonotonicInstant): MonotonicInstant {
        val target = config.workClass(request.className)?.target as? Target.AnswerWithin ?: return request.deadline
        return minOf(request.deadline, arrivedAt + target.millis.milliseconds)
    }

    /** Whether no queued or running work remains that a graceful shutdown has to wait for. */
    public val idle: Boolean get() = queue.isEmpty() && running.isEmpty() && attempts.values.none { it.phase.active }
}
