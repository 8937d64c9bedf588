package org.camphorhall.agent

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import org.camphorhall.core.agent.AgentAction
import org.camphorhall.core.agent.AgentEvent
import org.camphorhall.core.agent.AttemptPhase
import org.camphorhall.core.agent.InventoryItem
import org.camphorhall.core.model.AttemptId
import org.camphorhall.core.model.MonotonicInstant
import org.camphorhall.core.model.Reason
import org.camphorhall.core.model.TaskId
import org.camphorhall.platform.runtime.RuntimeError
import org.camphorhall.platform.runtime.RuntimeTask
import org.camphorhall.platform.runtime.TaskStart
import org.camphorhall.platform.runtime.WorkerCapacity
import org.camphorhall.platform.runtime.WorkerRuntime
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private val logger = KotlinLogging.logger {}

/** Performs the agent's task actions at the worker runtime. Calls for the same task run one after another. */
internal class RuntimeDriver(
    private val runtime: WorkerRuntime,
    private val scope: CoroutineScope,
    private val clock: () -> MonotonicInstant,
    private val send: (AgentEvent) -> Unit,
) {
    private val taskLocks = ConcurrentHashMap<TaskId, Mutex>()

    /** Keys of queued and running calls, so that an action that the state machine repeats is not queued twice. */
    private val pendingCalls = ConcurrentHashMap.newKeySet<Any>()

    /** Opens a worker runtime session and sends the capacity and inventory to the agent; retries until it succeeds. */
    suspend fun openSession(): WorkerCapacity {
        while (true) {
            val capacity = runtime.capacity().getOrNull()
            val session = capacity?.let { runtime.openSession().getOrNull() }
            if (session != null) {
                val inventory = session.inventory.map { it.toItem() }
                send(AgentEvent.RuntimeReady(capacity.resources, inventory, session.hasPredecessor))
                return capacity
            }
            logger.warn { "cannot open a worker runtime session; retrying" }
            delay(OPEN_RETRY_PERIOD)
        }
    }

    /** Reads the worker runtime's inventory once and sends it to the agent; sends nothing if the call fails. */
    suspend fun readInventory() {
        val requestedAt = clock()
        runtime.tasks().onRight { tasks -> send(AgentEvent.InventoryRead(requestedAt, tasks.map { it.toItem() })) }
    }

    /** Takes a checkpoint of each attempt in [ids], which bounds the progress lost when its lease expires. */
    suspend fun checkpoint(ids: List<AttemptId>) {
        for (id in ids) taskLock(id.task).withLock { runtime.checkpoint(id) }
    }

    fun perform(action: AgentAction) {
        when (action) {
            is AgentAction.StartTask -> launchOnce("start" to action.id, action.id) { start(action) }
            is AgentAction.ExtendTask -> launchOnce(action, action.id) {
                runtime.extend(action.id, action.until.nanos, action.ownerEpoch)
                    .onRight { send(AgentEvent.TaskExtended(action.id, action.ownerEpoch)) }
                    .onLeft { readInventory() }
            }
            is AgentAction.StopTask -> launchOnce("stop" to action.id, action.id) { stop(action.id, Reason.Stale) }
            is AgentAction.ThrottleTask -> launchOnce(action, action.id) {
                runtime.throttle(action.id, action.cpuShare, action.order)
                    .onRight { send(AgentEvent.TaskThrottled(action.id, action.order)) }
            }
            is AgentAction.ForgetTask -> launchOnce(action, action.id) { runtime.forget(action.id) }
            else -> Unit
        }
    }

    private fun launchOnce(key: Any, id: AttemptId, call: suspend () -> Unit) {
        if (!pendingCalls.add(key)) return
        scope.launch {
            try {
                taskLock(id.task).withLock { call() }
            } finally {
                pendingCalls.remove(key)
            }
        }
    }

    private fun taskLock(task: TaskId): Mutex {
        if (taskLocks.size > MAX_TASK_LOCKS) taskLocks.entries.removeIf { !it.value.isLocked }
        return taskLocks.computeIfAbsent(task) { Mutex() }
    }

    private suspend fun start(a: AgentAction.StartTask) {
        val start = TaskStart(a.id, a.spec.resources, a.spec.payload, a.spec.checkpoint, a.until.nanos)
        runtime.start(start).fold({ e ->
            when (e) {
                // An earlier call whose response is missing may still take effect, unless a stop records the token.
                RuntimeError.NoCapacity -> stop(a.id, Reason.NoCapacity)
                RuntimeError.DeadlinePassed -> send(AgentEvent.TaskRefused(a.id, Reason.LeaseLapsed))
                // An earlier call may have started the task; only the inventory shows whether it did.
                RuntimeError.Stale -> findOrRefuse(a.id, Reason.Stale)
                RuntimeError.NoSuchTask, is RuntimeError.Uncertain ->
                    logger.warn { "start of ${a.id} is uncertain: $e" }
            }
        }) { send(AgentEvent.TaskStarted(a.id)) }
    }

    private suspend fun findOrRefuse(id: AttemptId, reason: Reason) {
        runtime.tasks().onRight { tasks ->
            val found = tasks.firstOrNull { it.id == id }
            if (found == null) {
                send(AgentEvent.TaskRefused(id, reason))
            } else {
                send(AgentEvent.InventoryRead(MonotonicInstant(Long.MIN_VALUE / 2), listOf(found.toItem())))
            }
        }
    }

    /** Stops the attempt. If it has not started, it never will, which is reported with [reason]. */
    private suspend fun stop(id: AttemptId, reason: Reason) {
        runtime.stop(id).fold({ e ->
            when (e) {
                // The runtime has recorded the fencing token, so an earlier start can no longer take effect.
                RuntimeError.NoSuchTask -> {
                    send(AgentEvent.TaskRefused(id, reason))
                    readInventory()
                }
                RuntimeError.Stale -> findOrRefuse(id, reason)
                else -> logger.warn { "stop of $id is uncertain: $e" }
            }
        }) { send(AgentEvent.TaskStopped(it.toItem())) }
    }

    private companion object {
        val OPEN_RETRY_PERIOD: Duration = 500.milliseconds
        const val MAX_TASK_LOCKS = 1_000
    }
}

private fun RuntimeTask.toItem() = InventoryItem(
    id = id,
    phase = when (state) {
        RuntimeTask.State.Running -> AttemptPhase.Running
        RuntimeTask.State.Finished -> AttemptPhase.Finished
        RuntimeTask.State.Failed -> AttemptPhase.Failed
        RuntimeTask.State.Stopped -> AttemptPhase.Stopped
    },
    resources = resources,
    checkpoint = checkpoint,
    progressMillis = progressMillis,
    result = result,
    deadline = MonotonicInstant(deadlineNanos),
    ownerEpoch = ownerEpoch,
)
