package org.camphorhall.core.agent

import org.camphorhall.core.config.ConfigUpdate
import org.camphorhall.core.model.AttemptId
import org.camphorhall.core.model.BackendId
import org.camphorhall.core.model.MonotonicInstant
import org.camphorhall.core.model.Reason
import org.camphorhall.core.model.RequestId
import org.camphorhall.core.model.Resources
import org.camphorhall.core.model.TaskId

/** An event that the agent's state machine handles. */
public sealed interface AgentEvent {
    /** The worker runtime registered this incarnation of the agent and returned its inventory. */
    public data class RuntimeReady(
        val capacity: Resources,
        val inventory: List<InventoryItem>,
        /** Whether an earlier incarnation was registered, whose requests the backend servers may still process. */
        val predecessor: Boolean = false,
    ) : AgentEvent

    /** The worker runtime returned the inventory that was requested at [requestedAt]. */
    public data class InventoryRead(
        val requestedAt: MonotonicInstant,
        val inventory: List<InventoryItem>,
    ) : AgentEvent

    /** A backend server announced itself with the number of requests that it is processing. */
    public data class BackendAnnounced(val backend: Backend) : AgentEvent

    /** A backend server announced that it is shutting down, so it receives no new requests. */
    public data class BackendLeaving(val id: BackendId) : AgentEvent

    /** A request arrived that an entry sent to [incarnation] of the agent. */
    public data class RequestArrived(val request: Request, val incarnation: Long) : AgentEvent

    /** An entry withdrew a request that it sent to [incarnation] with the deadline [deadline]. */
    public data class RequestWithdrawn(
        val id: RequestId,
        val incarnation: Long,
        val deadline: MonotonicInstant,
    ) : AgentEvent

    /** A request to a backend server ended with [answer]. */
    public data class BackendAnswered(val id: RequestId, val answer: BackendAnswer) : AgentEvent

    /** A shard owner sent commands to start and stop attempts. */
    public data class CommandReceived(
        val incarnation: Long,
        /** Send time of the latest heartbeat that the owner has as acknowledged; new leases are counted from it. */
        val anchor: MonotonicInstant,
        val starts: List<StartCommand>,
        val stops: List<StopCommand>,
    ) : AgentEvent

    /** The runtime started an attempt. */
    public data class TaskStarted(val id: AttemptId) : AgentEvent

    /** The runtime rejected the start of an attempt, which is guaranteed not to run. */
    public data class TaskRefused(val id: AttemptId, val reason: Reason) : AgentEvent

    /** The runtime stopped an attempt. */
    public data class TaskStopped(val item: InventoryItem) : AgentEvent

    /** The runtime extended a lease and recorded the epoch of its owner. */
    public data class TaskExtended(val id: AttemptId, val ownerEpoch: Long) : AgentEvent

    /** The runtime applied the throttle that was sent with [order]. */
    public data class TaskThrottled(val id: AttemptId, val order: Long) : AgentEvent

    /** An entry acknowledged the heartbeat that was sent at [sentAt]. */
    public data class HeartbeatAnswered(
        val sentAt: MonotonicInstant,
        /** Epoch of each shard that the entry owns and whose leases it renews. */
        val renewals: Map<Int, Long>,
        val acknowledged: List<AttemptId>,
        /** Stops of attempts that the entry does not track as current. */
        val stops: List<StopCommand>,
    ) : AgentEvent

    /** A configuration update arrived. */
    public data class ConfigReceived(val update: ConfigUpdate) : AgentEvent

    /** The worker starts to drain. */
    public data object Drain : AgentEvent

    /** The periodic timer fired. */
    public data object Tick : AgentEvent
}

/** Result of a request to a backend server. */
public enum class BackendAnswer {
    Completed,
    Failed,

    /** The connection was refused, so the request is guaranteed not to have run. */
    NotReached,

    /** The connection broke after the request was sent, so the request may have run. */
    Lost,
}

/** An attempt in the runtime's inventory. */
public data class InventoryItem(
    val id: AttemptId,
    val phase: AttemptPhase,
    val resources: Resources,
    val checkpoint: String? = null,
    val progressMillis: Long = 0,
    val result: String? = null,
    val deadline: MonotonicInstant,
    val ownerEpoch: Long = id.epoch,
)

/** A command to start one attempt. */
public data class StartCommand(
    val id: AttemptId,
    val shard: Int,
    /** Incarnation of the agent that the attempt was assigned to. */
    val incarnation: Long,
    val spec: TaskSpec,
    /** Epoch of the owner that sends the start; a later owner resends starts that an earlier one recorded. */
    val ownerEpoch: Long = id.epoch,
)

/** A command to stop one attempt. [epoch] is the epoch of the owner that sends it. */
public data class StopCommand(
    val id: AttemptId,
    val shard: Int,
    val epoch: Long,
    val reason: Reason,
) {
    /** Task that the attempt runs. */
    public val task: TaskId get() = id.task
}
