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

/** Everything that one agent knows. It is the sole authority on what its worker holds and runs. */
public data class AgentState(
    /** Identity of this run of the agent: the monotonic time of its start. */
    val incarnation: Long,
    /** Null until the runtime has answered; nothing is admitted before that. */
    val capacity: Resources? = null,
    /** Moment from which work is admitted. */
    val admissionStartsAt: MonotonicInstant = MonotonicInstant(Long.MIN_VALUE / 2),
    val draining: Boolean = false,
    val config: Configuration = Configuration(),
    val backends: PersistentMap<BackendId, Backend> = persistentMapOf(),
    /** Waiting requests, ordered by the queue policy. */
    val queue: PersistentList<QueuedRequest> = persistentListOf(),
    val running: PersistentMap<RequestId, RunningRequest> = persistentMapOf(),
    val recentRequests: PersistentMap<RequestId, RecentRequest> = persistentMapOf(),
    val attempts: PersistentMap<TaskId, TrackedAttempt> = persistentMapOf(),
    val tombstones: PersistentMap<TaskId, Tombstone> = persistentMapOf(),
    /** Greatest epoch accepted for each shard. */
    val shardEpochs: PersistentMap<Int, Long> = persistentMapOf(),
    val estimates: PersistentMap<ClassName, ServiceTimeEstimate> = persistentMapOf(),
    /** Concurrent requests of each class that its arrivals saw. */
    val demand: PersistentMap<ClassName, DemandEstimate> = persistentMapOf(),
    val arrivals: Long = 0,
    /** Moment of the last removal of expired records. */
    val cleanedAt: MonotonicInstant = MonotonicInstant(Long.MIN_VALUE / 2),
) {
    /** Resources of running requests and of active attempts. */
    public val used: Resources get() = requestsUsed + tasksUsed

    /** Resources of running requests, and of those that an earlier incarnation dispatched. */
    public val requestsUsed: Resources
        get() = running.values.fold(Resources.None) { sum, r -> sum + r.resources } +
            backends.values.fold(Resources.None) { sum, b -> sum + b.perRequest * b.orphans }

    /**
     * Resources of running requests, and the declared ones of active attempts. Processors that throttled attempts lend
     * to requests count as taken, so that no other attempt gets them in between.
     */
    public val committed: Resources
        get() = attempts.values.filter { it.phase.active }.fold(requestsUsed) { sum, a -> sum + a.spec.resources }

    /** Resources of active attempts. */
    public val tasksUsed: Resources get() = attempts.values.fold(Resources.None) { sum, a -> sum + a.charged }

    /**
     * Returns the greatest epoch of [shard] that earlier owners can no longer undercut here, also after a restart of
     * the agent: the least that the runtime has recorded for its active attempts.
     */
    public fun fencedEpoch(shard: Int): Long {
        val accepted = shardEpochs[shard] ?: 0
        return attempts.values.filter { it.shard == shard && it.phase.active }.minOfOrNull { it.ownerEpoch } ?: accepted
    }

    /** Returns the moment by which [request], which arrived at [arrivedAt], must be answered. */
    public fun dueTime(request: Request, arrivedAt: MonotonicInstant): MonotonicInstant {
        val target = config.workClass(request.className)?.target as? Target.AnswerWithin ?: return request.deadline
        return minOf(request.deadline, arrivedAt + target.millis.milliseconds)
    }

    /** Whether nothing is left that a graceful stop has to wait for. */
    public val idle: Boolean get() = queue.isEmpty() && running.isEmpty() && attempts.values.none { it.phase.active }
}
